/** Bounds the bytes that an instance keeps in memory for one purpose. */
export class BufferBudget {
  private usedBytes = 0;

  constructor(private readonly maxBytes: number) {}

  /** Whether there is no room for anything more. */
  get isFull(): boolean {
    return this.usedBytes >= this.maxBytes;
  }

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
