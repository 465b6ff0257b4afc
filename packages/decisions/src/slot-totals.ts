/** Sums over replicas that decisions need, kept up to date by differences. */

/** The contribution of one replica, or the sum of the contributions of several. */
export class SlotTotals {
  constructor(
    /** Slots, if the replica is not leaving. */
    public slots = 0,
    /** Free slots, if the replica may get work now; negative when it runs more streams than its limit. */
    public freeSlots = 0,
    /** Estimated streams without a permit minus permits without a stream. */
    public drift = 0,
    /** Replicas whose load could be read. */
    public reporting = 0,
    /** Replicas that may get work now. */
    public available = 0,
    public availableReporting = 0,
    /** Replicas that get work now or when their pause ends. */
    public usable = 0,
  ) {}

  /** Adds the contribution `other`, or subtracts it. */
  change(other: SlotTotals, sign: 1 | -1): void {
    this.slots += sign * other.slots;
    this.freeSlots += sign * other.freeSlots;
    this.drift += sign * other.drift;
    this.reporting += sign * other.reporting;
    this.available += sign * other.available;
    this.availableReporting += sign * other.availableReporting;
    this.usable += sign * other.usable;
  }
}
