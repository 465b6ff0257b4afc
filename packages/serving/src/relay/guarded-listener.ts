import type { UpstreamHead, UpstreamListener } from '../online/forwarding.js';

/**
 * Passes the response of a replica on to its receiver. If the receiver throws, nothing more is passed on and the call is aborted, so
 * that the error reaches whoever made the call and not the connection that the response arrived on.
 */
export class GuardedListener implements UpstreamListener {
  private failure: { readonly error: unknown } | undefined;
  private readonly stopped = new AbortController();

  constructor(private readonly receiver: UpstreamListener) {}

  /** What the receiver has thrown; undefined if nothing. */
  get thrown(): { readonly error: unknown } | undefined {
    return this.failure;
  }

  /** Aborted when the receiver has thrown. */
  get signal(): AbortSignal {
    return this.stopped.signal;
  }

  onLeaving(replicaId: string): void {
    this.pass(() => this.receiver.onLeaving(replicaId));
  }

  onHead(head: UpstreamHead): void {
    this.pass(() => this.receiver.onHead(head));
  }

  onData(part: Buffer): void {
    this.pass(() => this.receiver.onData(part));
  }

  whenReady(): Promise<void> | undefined {
    return this.pass(() => this.receiver.whenReady());
  }

  private pass<T>(call: () => T): T | undefined {
    if (this.failure) return undefined;
    try {
      return call();
    } catch (error) {
      this.failure = { error };
      this.stopped.abort();
      return undefined;
    }
  }
}
