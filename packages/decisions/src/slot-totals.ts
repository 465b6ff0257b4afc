/** Sums over replicas that decisions need, kept up to date by differences. */

/** The contribution of one replica, or the sum of the contributions of several. */
export interface SlotTotals {
  /** Slots, if the replica is not leaving. */
  readonly slots: number;
  /** Free slots, if the replica may get work now; negative when it runs more streams than its limit. */
  readonly freeSlots: number;
  /** Estimated streams without a permit minus permits without a stream. */
  readonly drift: number;
  /** Replicas whose load could be read. */
  readonly reporting: number;
  /** Replicas that may get work now. */
  readonly available: number;
  readonly availableReporting: number;
}

export const NO_SLOTS: SlotTotals = {
  slots: 0,
  freeSlots: 0,
  drift: 0,
  reporting: 0,
  available: 0,
  availableReporting: 0,
};

export function addTotals(a: SlotTotals, b: SlotTotals): SlotTotals {
  return combine(a, b, 1);
}

export function subtractTotals(a: SlotTotals, b: SlotTotals): SlotTotals {
  return combine(a, b, -1);
}

function combine(a: SlotTotals, b: SlotTotals, sign: 1 | -1): SlotTotals {
  return {
    slots: a.slots + sign * b.slots,
    freeSlots: a.freeSlots + sign * b.freeSlots,
    drift: a.drift + sign * b.drift,
    reporting: a.reporting + sign * b.reporting,
    available: a.available + sign * b.available,
    availableReporting: a.availableReporting + sign * b.availableReporting,
  };
}
