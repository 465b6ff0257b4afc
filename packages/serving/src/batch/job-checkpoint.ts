import type { Clock, Metrics } from '@fighub/core';
import { batchJobKeys } from '@fighub/core';
import type { PartialOutput } from '@fighub/decisions';
import { outputsToSave, shouldCheckpoint } from '@fighub/decisions';
import type { RecordStore, Versioned } from '@fighub/outside';

/** Partial outputs of one job as stored. */
interface StoredCheckpoint {
  readonly outputs: readonly PartialOutput[];
}

/**
 * Saves what a job's unfinished items have brought so far, so that the next holder resumes their streams. A loss
 * costs only time: no promise rests on a checkpoint.
 */
export class JobCheckpoint {
  private record: Versioned<StoredCheckpoint> | undefined;
  private savedEvents = 0;
  private savedAtMs: number;
  private saving = false;

  constructor(
    private readonly jobId: string,
    private readonly store: RecordStore,
    private readonly clock: Clock,
    private readonly metrics: Metrics,
  ) {
    this.savedAtMs = clock.monotonicMs();
  }

  /** What an earlier holder has saved. */
  async load(): Promise<readonly PartialOutput[]> {
    const read = await this.store.read<StoredCheckpoint>(this.key);
    if (!read.ok || !read.value) return [];
    this.record = read.value;
    return read.value.value.outputs;
  }

  /** Saves when it is time. `receivedEvents` only rises. */
  run(receivedEvents: number, outputs: () => readonly PartialOutput[]): void {
    const sinceLastMs = this.clock.monotonicMs() - this.savedAtMs;
    if (this.saving || !shouldCheckpoint(receivedEvents - this.savedEvents, sinceLastMs)) return;
    this.savedEvents = receivedEvents;
    this.savedAtMs = this.clock.monotonicMs();
    void this.save(outputs());
  }

  /** Saves now. Another holder's newer checkpoint stays. */
  async save(outputs: readonly PartialOutput[]): Promise<void> {
    this.saving = true;
    const written = await this.store.write<StoredCheckpoint>(this.key, this.record, {
      outputs: outputsToSave(outputs),
    });
    this.saving = false;
    if (written.ok) this.record = written.value;
    this.metrics.count(written.ok ? 'batch_checkpoints' : 'batch_checkpoints_failed');
  }

  /** Removes the record of a job that is done. */
  async remove(): Promise<void> {
    if (this.record) await this.store.remove(this.record);
  }

  private get key(): string {
    return batchJobKeys.checkpoint(this.jobId);
  }
}
