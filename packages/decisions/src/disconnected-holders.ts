/** A holder that lives renews its permits over a new connection within this time, in milliseconds. */
const GRACE_MS = 500;

/**
 * Holders of permits that closed their connection and were not heard since: their processes have ended, and so have
 * their streams. Answers kills of many entries at once, long before membership knows.
 */
export class LostHolders {
  private readonly forgetAtMs = new Map<string, number>();

  /** Notes that a connection of a holder was closed. */
  onClosed(holder: string, nowMs: number): void {
    this.forgetAtMs.set(holder, nowMs + GRACE_MS);
  }

  /** Notes that a holder has renewed its permits. */
  onHeard(holder: string): void {
    this.forgetAtMs.delete(holder);
  }

  /** The holders whose time is up. Each is returned once. */
  take(nowMs: number): string[] {
    const lost = [...this.forgetAtMs].filter(([, atMs]) => atMs <= nowMs).map(([holder]) => holder);
    lost.forEach((holder) => this.forgetAtMs.delete(holder));
    return lost;
  }
}
