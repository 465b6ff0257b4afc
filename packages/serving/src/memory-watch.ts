/** Logs when the memory of the process comes near its limits. The runtime ends a process whose heap is full without a line. */
import { getHeapStatistics } from 'node:v8';

import type { DecisionLog, System } from '@fighub/core';
import { LogCategory } from '@fighub/core';

/** Memory of the process, in bytes. */
export interface MemoryUse {
  readonly heapUsedBytes: number;
  /** Heap at which the runtime ends the process. */
  readonly heapLimitBytes: number;
  /** Memory of the process as the kernel counts it. */
  readonly residentBytes: number;
}

const BYTES_PER_MB = 1_048_576;
const PERIOD_MS = 1_000;
/** Use above the first fraction of a limit is logged as high, and as normal again below the second. */
const HIGH_FRACTION = 0.8;
const NORMAL_FRACTION = 0.7;

/** Writes one line when the heap or the memory of the process becomes high, and one when both are normal again. */
export class MemoryWatch implements System {
  readonly name = 'memory watch';
  readonly busy = false;
  readonly minPeriodMs = PERIOD_MS;
  private isHigh = false;

  constructor(
    /** Memory that the process may use, in megabytes. */
    private readonly memoryMb: number,
    private readonly log: DecisionLog,
    private readonly read: () => MemoryUse = readMemory,
  ) {}

  run(): void {
    const use = this.read();
    const fraction = Math.max(
      use.heapUsedBytes / use.heapLimitBytes,
      use.residentBytes / (this.memoryMb * BYTES_PER_MB),
    );
    const isHigh = fraction > (this.isHigh ? NORMAL_FRACTION : HIGH_FRACTION);
    if (isHigh === this.isHigh) return;
    this.isHigh = isHigh;
    this.log.record(LogCategory.state, isHigh ? 'memory_high' : 'memory_normal', {
      heapUsedMb: toMb(use.heapUsedBytes),
      heapLimitMb: toMb(use.heapLimitBytes),
      residentMb: toMb(use.residentBytes),
      memoryMb: this.memoryMb,
    });
  }
}

function readMemory(): MemoryUse {
  const { used_heap_size: heapUsedBytes, heap_size_limit: heapLimitBytes } = getHeapStatistics();
  return { heapUsedBytes, heapLimitBytes, residentBytes: process.memoryUsage.rss() };
}

function toMb(bytes: number): number {
  return Math.round(bytes / BYTES_PER_MB);
}
