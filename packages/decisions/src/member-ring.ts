/**
 * The members that an instance probes and notifies itself. All live members stand on a ring in the order of the digests
 * of their ids, and the neighbours of one are those 1, 2, 4, 8, … places after it. Every instance has as many neighbours
 * as it is a neighbour of others, and a change reaches all members in as many steps. Answers a fleet of hundreds of
 * instances: a probe of a random member would nearly always need a new connection.
 */
import { digestNumber } from '@fighub/core';

/** The ring of live members, as one instance knows them. */
export class MemberRing {
  /** Digests by instance id, which are kept from one set of members to the next. */
  private digests = new Map<string, number>();
  /** The neighbours of this instance, the nearest first. */
  neighbourIds: readonly string[] = [];
  /** A digest of the set of members, by which two instances see that they know different ones. */
  setDigest = 0;

  constructor(private readonly selfId: string) {}

  /** Replaces the live members other than this instance. */
  setOthers(otherIds: readonly string[]): void {
    const known = this.digests;
    const ids = [this.selfId, ...otherIds];
    this.digests = new Map(ids.map((id) => [id, known.get(id) ?? digestNumber(id)] as const));
    this.setDigest = ids.reduce((combined, id) => (combined ^ this.digestOf(id)) >>> 0, ids.length);
    const after = this.afterSelf(otherIds);
    const stepCount = Math.ceil(Math.log2(after.length + 1));
    this.neighbourIds = Array.from({ length: stepCount }, (_, step) => after[2 ** step - 1] ?? '');
  }

  /** The other members in the order of the ring, from the one after this instance to the one before it. */
  private afterSelf(otherIds: readonly string[]): string[] {
    const order = (a: string, b: string): number => this.digestOf(a) - this.digestOf(b) || (a < b ? -1 : 1);
    const ring = [...otherIds].sort(order);
    const splitAt = ring.filter((id) => order(id, this.selfId) < 0).length;
    return [...ring.slice(splitAt), ...ring.slice(0, splitAt)];
  }

  private digestOf(id: string): number {
    return this.digests.get(id) ?? 0;
  }
}
