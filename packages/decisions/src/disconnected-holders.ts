/** A live holder renews its permits over a new connection within this time. */
const RENEWAL_GRACE_MS = 500;

/**
 * Detects permit holders that closed a connection and have not renewed their permits since: their processes
 * have ended, and their streams with them. This covers many entries that are killed at once, long before the
 * membership detects their failure.
 */
export class DisconnectedHolders {
  /** When the grace period of each holder ends, in monotonic time. */
  private readonly forgetAtMs = new Map<string, number>();

  /** Records that a connection of a holder was closed and starts its grace period. */
  onClosed(holder: string, nowMs: number): void {
    this.forgetAtMs.set(holder, nowMs + RENEWAL_GRACE_MS);
  }

  /** Records that a holder has renewed its permits, which ends its grace period. */
  onRenewed(holder: string): void {
    this.forgetAtMs.delete(holder);
  }

  /** Removes and returns the holders whose grace period has expired, so that each is returned once. */
  takeExpired(nowMs: number): string[] {
    const expired = [...this.forgetAtMs].filter(([, atMs]) => atMs <= nowMs).map(([holder]) => holder);
    expired.forEach((holder) => this.forgetAtMs.delete(holder));
    return expired;
  }
}
