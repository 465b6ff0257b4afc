/** Brings table changes to this instance: relays watch the service, the rest hear from peers. */
import type { Metrics, TableBucket } from '@fighub/core';
import type { MemberUpdate } from '@fighub/decisions';
import { rankMembers } from '@fighub/decisions';
import type { MembershipRunner, PeerNode, TableDigest } from '@fighub/peers';
import type { WatchHandle } from '@fighub/outside';
import { RecordStore } from '@fighub/outside';

import type { TableStore } from './table-store.js';

const RELAYS_PER_DOMAIN = 2;
const RELAY_READ_PERIOD_MS = 3_000;
const FETCH_TIMEOUT_MS = 2_000;
const PUSH_FANOUT = 4;

/** Runs the relay's watch, pushes to peers and fetches what peers have newer. */
export class TableSpread {
  readonly name = 'table spread';
  private watch: WatchHandle | undefined;
  private timer: NodeJS.Timeout | undefined;
  private isRelay = false;
  private readonly fetching = new Set<string>();
  private readonly peerRevisions = new Map<string, readonly number[]>();

  constructor(
    private readonly table: TableStore,
    private readonly store: RecordStore,
    private readonly node: PeerNode,
    private readonly members: () => MembershipRunner,
    private readonly self: MemberUpdate,
    private readonly metrics: Metrics,
  ) {
    node.onRequest('table.fetch', (body) => ({ buckets: table.bucketsFor(body.buckets) }));
    node.onNotice('table.push', (body) => table.apply(body.bucket));
    table.onChange((bucket) => this.push(bucket));
  }

  async start(): Promise<void> {
    await this.table.readAll();
    this.update();
    this.timer = setInterval(() => this.update(), RELAY_READ_PERIOD_MS);
  }

  stop(): void {
    clearInterval(this.timer);
    this.watch?.close();
  }

  /** Compares a peer's revisions with ours and fetches the newer buckets. */
  onPeerTable(peer: MemberUpdate, digest: TableDigest): void {
    this.peerRevisions.set(peer.instanceId, digest.revisions);
    const own = this.table.revisions();
    const newer = digest.revisions
      .map((revision, index) => ({ revision, index }))
      .filter((entry) => entry.revision > (own[entry.index] ?? 0));
    if (newer.length === 0 || this.fetching.has(peer.instanceId)) return;
    void this.fetch(
      peer,
      newer.map((entry) => entry.index),
    );
  }

  /** Live members whose last known revision of a bucket is below `revision`. */
  lagging(bucket: number, revision: number): string[] {
    return this.members()
      .owners()
      .filter((member) => member.instanceId !== this.self.instanceId)
      .filter((member) => (this.peerRevisions.get(member.instanceId)?.[bucket] ?? 0) < revision)
      .map((member) => member.instanceId);
  }

  dump(): Record<string, unknown> {
    return {
      relay: this.isRelay,
      revisions: this.table.revisions(),
      peerRevisions: Object.fromEntries(this.peerRevisions),
    };
  }

  private update(): void {
    const inDomain = this.members()
      .owners()
      .filter((member) => member.failureDomain === this.self.failureDomain)
      .map((member) => member.instanceId);
    const relays = rankMembers(`relay/${this.self.failureDomain}`, inDomain).slice(0, RELAYS_PER_DOMAIN);
    this.isRelay = relays.includes(this.self.instanceId);
    if (!this.isRelay) {
      this.watch?.close();
      this.watch = undefined;
      return;
    }
    // Watches miss events and go silent, so a relay also reads.
    void this.table.readAll();
    if (!this.watch) this.openWatch();
  }

  private openWatch(): void {
    const handle = this.store.watch('table/', {
      onEvent: (event) => {
        if (event.value === undefined) return;
        this.table.apply(RecordStore.parse<TableBucket>(event.key, event.value, event.revision).value);
      },
      onEnd: () => {
        if (this.watch === handle) this.watch = undefined;
        this.metrics.count('table_watches_ended');
      },
    });
    this.watch = handle;
  }

  private async fetch(peer: MemberUpdate, buckets: readonly number[]): Promise<void> {
    this.fetching.add(peer.instanceId);
    const answer = await this.node.request(peer.peerAddress, 'table.fetch', { buckets }, FETCH_TIMEOUT_MS);
    this.fetching.delete(peer.instanceId);
    if (answer.ok) answer.value.buckets.forEach((bucket) => this.table.apply(bucket));
  }

  private push(bucket: TableBucket): void {
    this.members()
      .membership.randomAliveMembers(this.self.instanceId, PUSH_FANOUT)
      .forEach((peer) => this.node.notify(peer.peerAddress, 'table.push', { bucket }));
  }
}
