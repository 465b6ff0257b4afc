/** Bounds the bytes of responses that an instance keeps in memory until they are complete. */
export class BufferBudget {
  private usedBytes = 0;

  constructor(private readonly maxBytes: number) {}

  /** Counts bytes that are kept. Returns false, and counts nothing, if there is no room for them. */
  take(bytes: number): boolean {
    if (this.usedBytes + bytes > this.maxBytes) return false;
    this.usedBytes += bytes;
    return true;
  }

  release(bytes: number): void {
    this.usedBytes -= bytes;
  }
}
