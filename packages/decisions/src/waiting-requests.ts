/** The requests of a pool that wait for a slot, by what they wait for. */
import { BatchQueue } from './batch-queue.js';
import { FairQueue } from './fair-queue.js';
import type { SlotRequest } from './pool-types.js';
import { WorkClass } from './pool-types.js';
import { Quarantine } from './quarantine.js';
import { SuspectQueue } from './suspect-queue.js';

/** The queues of one pool. A request is in one of them at most. */
export class WaitingRequests {
  readonly online = new FairQueue<SlotRequest>();
  readonly batch = new BatchQueue<SlotRequest>();
  /** Batch items that run alone at a replica. */
  readonly quarantine = new Quarantine();
  /** Requests that wait until another one has shown whether they crash replicas. */
  readonly suspects = new SuspectQueue();

  get size(): number {
    return this.online.size + this.batch.size + this.quarantine.size + this.suspects.size;
  }

  /** Number of waiting online requests, or of batch items. */
  sizeOf(workClass: WorkClass): number {
    const queued = workClass === WorkClass.online ? this.online.size : this.batch.size + this.quarantine.size;
    return queued + this.suspects.sizeOf(workClass);
  }

  has(requestId: string): boolean {
    return this.isQueued(requestId) || this.quarantine.has(requestId) || this.suspects.has(requestId);
  }

  /** Whether the request waits for nothing but a slot. */
  isQueued(requestId: string): boolean {
    return this.online.has(requestId) || this.batch.has(requestId);
  }

  /** Removes a request; does nothing when it does not wait. */
  withdraw(requestId: string): void {
    this.quarantine.remove(requestId);
    this.suspects.takeWhere((request) => request.requestId === requestId);
    if (!this.online.remove(requestId)) this.batch.remove(requestId);
  }

  removeHolder(holder: string): void {
    this.online.removeWhere((request) => request.holder === holder);
    this.batch.removeWhere((request) => request.holder === holder);
    this.quarantine.removeHolder(holder);
    this.suspects.takeWhere((request) => request.holder === holder);
  }

  /** Removes and returns the requests that `matches` selects, without those in quarantine. */
  takeWhere(matches: (request: SlotRequest) => boolean): SlotRequest[] {
    return [
      ...this.online.removeWhere(matches),
      ...this.batch.removeWhere(matches),
      ...this.suspects.takeWhere(matches),
    ];
  }

  /** Removes and returns the requests that are bound to a software version for which `hasReplica` returns false. */
  takeUnservable(hasReplica: (softwareVersion: string) => boolean): SlotRequest[] {
    const queued = [this.online, this.batch].flatMap((queue) =>
      queue.boundVersions
        .filter((version) => !hasReplica(version))
        .flatMap((version) => queue.removeWhere((request) => request.softwareVersion === version)),
    );
    const held = this.suspects.takeWhere(
      ({ softwareVersion }) => softwareVersion !== undefined && !hasReplica(softwareVersion),
    );
    return [...queued, ...held];
  }

  /** Adjusts the charge of an organisation by the difference between the actual and the estimated cost. */
  correctCharge({ workClass, organisation, costTokens }: SlotRequest, tokens: number): void {
    const queue = workClass === WorkClass.online ? this.online : this.batch;
    queue.correctCharge(organisation, tokens - costTokens);
  }
}
