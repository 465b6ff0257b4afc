/**
 * Replicates the operators' table to this instance. In each failure domain a few relays watch the key-value service;
 * all other instances receive changes from their peers.
 */
import type { BackgroundTasks, Metrics, TableBucket } from '@fighub/core';
import type { MemberUpdate } from '@fighub/decisions';
import { rankMembers } from '@fighub/decisions';
import type { MembershipRunner, PeerNode, TableDigest } from '@fighub/peers';
import type { WatchHandle } from '@fighub/outside';
import { RecordStore } from '@fighub/outside';

import type { TableStore } from './table-store.js';

const RELAYS_PER_FAILURE_DOMAIN = 2;
/** Interval at which the relays are chosen again, and at which a relay reads the whole table. */
const RELAY_READ_PERIOD_MS = 3_000;
const FETCH_TIMEOUT_MS = 2_000;
/** Number of peers to which each instance pushes a changed bucket. */
const PUSH_FANOUT = 4;

/** Watches the table on relays, pushes changed buckets to peers, and fetches buckets that are newer at a peer. */
export class TableReplication {
  readonly name = 'table replication';
  private watch: WatchHandle | undefined;
  private timer: NodeJS.Timeout | undefined;
  private isRelay = false;
  /** Ids of the peers with a fetch in progress. */
  private readonly fetchingFrom = new Set<string>();
  /** By instance id, the bucket revisions that a peer last reported. */
  private readonly peerRevisions = new Map<string, readonly number[]>();

  constructor(
    private readonly table: TableStore,
    private readonly store: RecordStore,
    private readonly node: PeerNode,
    private readonly members: () => MembershipRunner,
    private readonly self: MemberUpdate,
    private readonly tasks: BackgroundTasks,
    private readonly metrics: Metrics,
  ) {
    node.onRequest('table.fetch', (body) => ({ buckets: table.bucketsFor(body.buckets) }));
    node.onNotice('table.push', (body) => table.apply(body.bucket));
    table.onChange((bucket) => this.push(bucket));
  }

  /** Reads the table once, and becomes a relay if this instance is chosen. */
  async start(): Promise<void> {
    await this.table.readAll();
    this.updateRelayRole();
    this.timer = setInterval(
      () => this.tasks.run('relay role', () => this.updateRelayRole()),
      RELAY_READ_PERIOD_MS,
    );
  }

  stop(): void {
    clearInterval(this.timer);
    this.watch?.close();
  }

  /** Records the bucket revisions that a peer reports, and fetches the buckets that are newer at the peer. */
  onPeerTable(peer: MemberUpdate, digest: TableDigest): void {
    this.peerRevisions.set(peer.instanceId, digest.revisions);
    const own = this.table.revisions();
    const newer = digest.revisions
      .map((revision, index) => ({ revision, index }))
      .filter((entry) => entry.revision > (own[entry.index] ?? 0));
    if (newer.length === 0 || this.fetchingFrom.has(peer.instanceId)) return;
    const buckets = newer.map((entry) => entry.index);
    this.tasks.run('table fetch', () => this.fetch(peer, buckets));
  }

  /** Returns the ids of the live instances whose last reported revision of `bucket` is below `revision`. */
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

  /** Chooses the relays of this failure domain by rendezvous hashing, and opens or closes the watch accordingly. */
  private updateRelayRole(): void {
    const domainMemberIds = this.members()
      .owners()
      .filter((member) => member.failureDomain === this.self.failureDomain)
      .map((member) => member.instanceId);
    const relays = rankMembers(`relay/${this.self.failureDomain}`, domainMemberIds).slice(
      0,
      RELAYS_PER_FAILURE_DOMAIN,
    );
    this.isRelay = relays.includes(this.self.instanceId);
    if (!this.isRelay) {
      this.watch?.close();
      this.watch = undefined;
      return;
    }
    // A watch can miss events or go silent without ending, so a relay also reads the table periodically.
    this.tasks.run('table read', () => this.table.readAll());
    if (!this.watch) this.openWatch();
  }

  private openWatch(): void {
    const handle = this.store.watch('table/', {
      onEvent: (event) => {
        const { key, value, revision } = event;
        if (value === undefined) return;
        this.tasks.run('table event', () =>
          this.table.apply(RecordStore.parse<TableBucket>(key, value, revision).value),
        );
      },
      onEnd: () => {
        if (this.watch === handle) this.watch = undefined;
        this.metrics.count('table_watches_ended');
      },
    });
    this.watch = handle;
  }

  private async fetch(peer: MemberUpdate, buckets: readonly number[]): Promise<void> {
    this.fetchingFrom.add(peer.instanceId);
    const response = await this.node
      .request(peer.peerAddress, 'table.fetch', { buckets }, FETCH_TIMEOUT_MS)
      .finally(() => this.fetchingFrom.delete(peer.instanceId));
    if (response.ok) response.value.buckets.forEach((bucket) => this.table.apply(bucket));
  }

  /** Sends a changed bucket to a few random live peers. */
  private push(bucket: TableBucket): void {
    this.members()
      .membership.randomAliveMembers(this.self.instanceId, PUSH_FANOUT)
      .forEach((peer) => this.node.notify(peer.peerAddress, 'table.push', { bucket }));
  }
}
