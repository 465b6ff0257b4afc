/** Keeps the batch streams that may be preempted in the order in which they are. */
import { orderedMap } from './ordered-map.js';
import type { Permit } from './pool-types.js';

/** What decides the order of preemption; it does not change while the stream runs. */
interface PreemptionKey {
  readonly deadlineMs: number;
  readonly grantedAtMs: number;
  readonly sequence: number;
}

interface KeyedPermit {
  readonly permit: Permit;
  readonly key: PreemptionKey;
}

/** The latest deadline first; among equals the youngest, whose stream loses the least work. */
function compareKeys(a: PreemptionKey, b: PreemptionKey): number {
  return b.deadlineMs - a.deadlineMs || b.grantedAtMs - a.grantedAtMs || a.sequence - b.sequence;
}

/** Like `compareKeys`, but with overdue items before all others. */
function compareWithLateness(a: PreemptionKey, b: PreemptionKey, nowMs: number): number {
  return Number(b.deadlineMs <= nowMs) - Number(a.deadlineMs <= nowMs) || compareKeys(a, b);
}

/** Streams whose items are overdue are preempted before all others. */
export class PreemptibleStreams {
  private readonly keys = new Map<string, PreemptionKey>();
  private readonly ordered = orderedMap<PreemptionKey, Permit>(compareKeys);
  private nextSequence = 0;

  get isEmpty(): boolean {
    return this.keys.size === 0;
  }

  /** Adds a stream unless it cannot be preempted. */
  add(permit: Permit): void {
    const { workClass, resumable, deadlineMs } = permit.request;
    if (workClass !== 'batch' || !resumable || permit.revokedUntilMs !== undefined) return;
    const key = { deadlineMs, grantedAtMs: permit.grantedAtMs, sequence: this.nextSequence };
    this.nextSequence += 1;
    this.keys.set(permit.permitId, key);
    this.ordered.set(key, permit);
  }

  /** Removes a stream that has ended or is being preempted; does nothing when it is not there. */
  remove(permitId: string): void {
    const key = this.keys.get(permitId);
    if (!key) return;
    this.keys.delete(permitId);
    this.ordered.delete(key);
  }

  /** The first stream in the order of preemption that `admits` accepts; undefined when there is none. */
  first(admits: (permit: Permit) => boolean, nowMs: number): Permit | undefined {
    const firstOverdue = {
      deadlineMs: nowMs,
      grantedAtMs: Number.POSITIVE_INFINITY,
      sequence: Number.NEGATIVE_INFINITY,
    };
    return (
      firstAdmitted(this.ordered.entries(firstOverdue), admits) ??
      firstAdmitted(this.ordered.entries(), admits)
    );
  }

  /** Number of the given streams that may be preempted. */
  countOf(permits: readonly Permit[]): number {
    return permits.filter((permit) => this.keys.has(permit.permitId)).length;
  }

  /** The given streams that may be preempted, in the order of preemption. */
  rank(permits: readonly Permit[], nowMs: number): Permit[] {
    return this.withKeys(permits)
      .sort((a, b) => compareWithLateness(a.key, b.key, nowMs))
      .map(({ permit }) => permit);
  }

  /** The first of the given streams in the order of preemption; undefined when none of them may be preempted. */
  firstOf(permits: readonly Permit[], nowMs: number): Permit | undefined {
    return this.withKeys(permits).reduce<KeyedPermit | undefined>(
      (first, each) =>
        first === undefined || compareWithLateness(each.key, first.key, nowMs) < 0 ? each : first,
      undefined,
    )?.permit;
  }

  private withKeys(permits: readonly Permit[]): KeyedPermit[] {
    return permits.flatMap((permit) => {
      const key = this.keys.get(permit.permitId);
      return key ? [{ permit, key }] : [];
    });
  }
}

function firstAdmitted(
  entries: Iterable<[PreemptionKey, Permit]>,
  admits: (permit: Permit) => boolean,
): Permit | undefined {
  for (const [, permit] of entries) {
    if (admits(permit)) return permit;
  }
  return undefined;
}
