/** Owns start and clean-up of the parts of a process, in order. */

/** A part with a start and a stop. */
export interface ManagedPart {
  readonly name: string;
  start?(): Promise<void> | void;
  /** Finishes accepted work. Called on all parts in reverse order before any `stop`. */
  drain?(hasten: AbortSignal): Promise<void>;
  stop?(): Promise<void> | void;
}

/** Starts parts in order of registration, drains and stops them in reverse order. */
export class LifeCycle {
  private readonly started: ManagedPart[] = [];
  private readonly hasten = new AbortController();
  private closing: Promise<void> | undefined;

  /** Starts a part and takes ownership of its clean-up. */
  async own(part: ManagedPart): Promise<void> {
    await part.start?.();
    this.started.push(part);
  }

  /** Drains, then stops all parts. A second call ends the drain early. */
  close(): Promise<void> {
    if (this.closing) {
      this.hasten.abort();
      return this.closing;
    }
    this.closing = this.closeAll();
    return this.closing;
  }

  private async closeAll(): Promise<void> {
    const parts = [...this.started].reverse();
    await parts.reduce(
      (previous, part) => previous.then(() => part.drain?.(this.hasten.signal)),
      Promise.resolve() as Promise<unknown>,
    );
    await parts.reduce(
      (previous, part) => previous.then(() => part.stop?.()),
      Promise.resolve() as Promise<unknown>,
    );
  }
}
