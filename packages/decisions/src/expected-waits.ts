/**
 * Estimates how long a new online request would wait for a slot, so that one that would start too late is refused at once. Answers
 * bursts of online requests above the capacity of a pool.
 */
import type { FairQueue } from './fair-queue.js';
import type { PoolSlots } from './pool-slots.js';
import type { OrganisationWait, SlotRequest } from './pool-types.js';
import { WorkClass } from './pool-types.js';

/** Number of organisations whose expected wait is listed in the load of a pool. */
const MAX_ORGANISATION_WAITS = 16;
/** Weight of the newest sample in the moving average of the stream duration. */
const MEAN_STREAM_SMOOTHING_FACTOR = 0.05;
const INITIAL_MEAN_STREAM_MS = 1_000;

/** Derives expected waits from the queue, the slots and the durations of online streams. */
export class ExpectedWaits {
  private meanMs = INITIAL_MEAN_STREAM_MS;

  constructor(
    private readonly slots: PoolSlots,
    private readonly online: FairQueue<SlotRequest>,
    private readonly weightOf: (organisation: string) => number,
  ) {}

  /** Moving average of the durations of online streams, in milliseconds. */
  get meanStreamMs(): number {
    return this.meanMs;
  }

  /** Records the duration of an online stream that has completed. */
  observeStream(streamMs: number): void {
    this.meanMs += MEAN_STREAM_SMOOTHING_FACTOR * (streamMs - this.meanMs);
  }

  /** Expected wait of a request, in milliseconds. */
  ofRequest({ organisation, softwareVersion }: SlotRequest, nowMs: number): number {
    return softwareVersion === undefined
      ? this.ofOrganisation(organisation, nowMs)
      : this.atVersion(softwareVersion, nowMs);
  }

  /**
   * Expected wait of a new online request of an organisation, in milliseconds. While requests wait, each
   * organisation gets freed slots in proportion to its weight, so the wait depends only on its own queue and on
   * the weights.
   */
  ofOrganisation(organisation: string, nowMs: number): number {
    const isLimited = this.slots.hasRequestLimits(nowMs);
    const usableSlots = this.slots.sustained(this.meanMs, nowMs) - this.slots.drift(nowMs);
    const { permitTable } = this.slots;
    const onlineStreams = permitTable.streamsOf(WorkClass.online);
    // The next scheduling round gives waiting requests a free slot, or the slot of a preempted batch stream.
    const fits = onlineStreams + this.online.size + permitTable.nonResumableBatchStreams < usableSlots;
    if (fits && (!isLimited || (this.online.size === 0 && this.slots.hasSlot(nowMs)))) return 0;
    const slotReleaseIntervalMs = this.meanMs / Math.max(1, usableSlots);
    const weight = this.weightOf(organisation);
    const share = weight / (weight + this.online.otherActiveWeight(organisation));
    // Limits let the next request start after an interval, however many streams run.
    if (this.online.size > 0 || isLimited)
      return ((this.online.waitingOf(organisation) + 1) * slotReleaseIntervalMs) / share;
    return Math.max(0, onlineStreams - usableSlots + 1) * slotReleaseIntervalMs;
  }

  /** Expected waits of the organisations with the most waiting online requests, at most `MAX_ORGANISATION_WAITS`. */
  longest(nowMs: number): OrganisationWait[] {
    return this.online
      .depths()
      .filter((depth) => depth.waiting > 0)
      .sort((a, b) => b.waiting - a.waiting)
      .slice(0, MAX_ORGANISATION_WAITS)
      .map(({ organisation }) => ({
        organisation,
        expectedWaitMs: this.ofOrganisation(organisation, nowMs),
      }));
  }

  /** Expected wait of a new online request that may run at one software version only. Such requests are served first. */
  private atVersion(softwareVersion: string, nowMs: number): number {
    const waiting = this.online.boundTo(softwareVersion);
    if (waiting < this.slots.freeSlotsOfVersion(softwareVersion, nowMs)) return 0;
    if (waiting < this.slots.preemptibleOfVersion(softwareVersion)) return 0;
    const slots = this.slots.sustained(this.meanMs, nowMs, softwareVersion);
    return ((waiting + 1) * this.meanMs) / Math.max(1, slots);
  }
}
