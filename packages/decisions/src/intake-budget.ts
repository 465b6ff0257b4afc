/**
 * Decides how many batch jobs are taken in at the same time. Answers many large jobs at once: parsing, checking and storing
 * a job takes its size several times over, on a heap that ends the process when it is full.
 */
import { memoryShares } from './memory-shares.js';

/** Memory that a job takes at its peak, as a multiple of its size: texts and encodings of it that exist at the same time. */
const MEMORY_FACTOR = 10;

/** The memory of jobs that are being taken in. A job that is larger than the budget is taken in alone. */
export class IntakeBudget {
  private readonly maxBytes: number;
  private usedBytes = 0;

  constructor(memoryMb: number) {
    this.maxBytes = memoryShares(memoryMb).jobIntakeBytes;
  }

  /** Takes memory for a job whose submission has `bodyBytes`. Returns false, and takes nothing, if it has to wait. */
  tryTake(bodyBytes: number): boolean {
    const bytes = bodyBytes * MEMORY_FACTOR;
    if (this.usedBytes > 0 && this.usedBytes + bytes > this.maxBytes) return false;
    this.usedBytes += bytes;
    return true;
  }

  release(bodyBytes: number): void {
    this.usedBytes -= bodyBytes * MEMORY_FACTOR;
  }
}
