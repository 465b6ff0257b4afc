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

  /** Starts a part. `close` drains and stops it; a part whose start fails is not stopped. */
  async start(part: ManagedPart): Promise<void> {
    await part.start?.();
    this.started.push(part);
  }

  /** Drains and then stops all parts. A second call ends the drain early. */
  close(): Promise<void> {
    if (this.closing) {
      this.drainAbort.abort();
      return this.closing;
    }
    this.closing = this.closeAll();
    return this.closing;
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
