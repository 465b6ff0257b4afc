/** Sums over replicas that decisions need, kept up to date by differences. */

/** The contribution of one replica to the sums. */
export interface SlotCounts {
  /** Slots, if the replica is not leaving. */
  readonly slots: number;
  /** Slots of a replica that states a limit of requests a second, if it is not leaving. */
  readonly limitedSlots: number;
  /** That limit; 0 if there is none. */
  readonly requestsPerSecond: number;
  /**
   * Free slots, if the replica may get work now, or the requests that its limit allows now if these are fewer; negative when
   * it runs more streams than its limit.
   */
  readonly freeSlots: number;
  /** Estimated streams without a permit minus permits without a stream. */
  readonly drift: number;
  /** 1 if the load of the replica could be read. */
  readonly reporting: number;
  /** 1 if the replica may get work now. */
  readonly available: number;
  /** 1 if the replica may get work now and its load could be read. */
  readonly availableReporting: number;
  /** 1 if the replica gets work now or when its pause ends. */
  readonly usable: number;
}

/** Sums of the contributions of several replicas. */
export class SlotTotals implements SlotCounts {
  slots = 0;
  limitedSlots = 0;
  requestsPerSecond = 0;
  freeSlots = 0;
  drift = 0;
  reporting = 0;
  available = 0;
  availableReporting = 0;
  usable = 0;

  add(counts: SlotCounts): void {
    this.change(counts, 1);
  }

  subtract(counts: SlotCounts): void {
    this.change(counts, -1);
  }

  private change(counts: SlotCounts, sign: 1 | -1): void {
    this.slots += sign * counts.slots;
    this.limitedSlots += sign * counts.limitedSlots;
    this.requestsPerSecond += sign * counts.requestsPerSecond;
    this.freeSlots += sign * counts.freeSlots;
    this.drift += sign * counts.drift;
    this.reporting += sign * counts.reporting;
    this.available += sign * counts.available;
    this.availableReporting += sign * counts.availableReporting;
    this.usable += sign * counts.usable;
  }
}
