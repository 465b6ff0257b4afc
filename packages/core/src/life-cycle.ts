/** Starts, drains and stops the parts of a process in order. */

/** A part of a process with an optional start, drain and stop. */
export interface ManagedPart {
  readonly name: string;
  start?(): Promise<void> | void;
  /**
   * Finishes accepted work, or returns early when `abort` is aborted. Called on all parts, in reverse order of their
   * start, before any `stop`.
   */
  drain?(abort: AbortSignal): Promise<void>;
  stop?(): Promise<void> | void;
}

/** Starts parts in order of registration; drains and then stops them in reverse order. */
export class LifeCycle {
  private readonly started: ManagedPart[] = [];
  private readonly drainAbort = new AbortController();
  private closing: Promise<void> | undefined;

  /** Once `abandon` is aborted, no further part is started. */
  constructor(private readonly abandon?: AbortSignal) {}

  /**
   * Starts a part. `close` drains and stops it; a part whose start fails is not stopped. Rejects with the reason of the abort if the start
   * was abandoned meanwhile; the part is stopped by `close` then.
   */
  async start(part: ManagedPart): Promise<void> {
    await part.start?.();
    this.started.push(part);
    this.abandon?.throwIfAborted();
  }

  /** Drains and then stops all parts. Repeated calls change nothing. */
  close(): Promise<void> {
    this.closing ??= this.closeAll();
    return this.closing;
  }

  /** Drains and then stops all parts, without waiting for accepted work any longer. */
  closeNow(): Promise<void> {
    this.drainAbort.abort();
    return this.close();
  }

  private async closeAll(): Promise<void> {
    const parts = [...this.started].reverse();
    await parts.reduce(
      (previous, part) => previous.then(() => part.drain?.(this.drainAbort.signal)),
      Promise.resolve() as Promise<unknown>,
    );
    await parts.reduce(
      (previous, part) => previous.then(() => part.stop?.()),
      Promise.resolve() as Promise<unknown>,
    );
  }
}
