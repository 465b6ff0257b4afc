/** Stores the partial outputs of one batch job, so that its next holder can resume them. */
import type { Clock, Metrics } from '@fighub/core';
import { batchJobKeys } from '@fighub/core';
import type { PartialOutput } from '@fighub/decisions';
import { outputsToSave, shouldCheckpoint } from '@fighub/decisions';
import type { RecordStore, Versioned } from '@fighub/outside';

/** The stored record of a checkpoint. */
interface StoredCheckpoint {
  readonly outputs: readonly PartialOutput[];
}

/**
 * Saves the partial outputs of a job's unfinished items, so that the next holder resumes their streams. A lost
 * checkpoint costs only time, since the items are then run from the start.
 */
export class JobCheckpoint {
  private record: Versioned<StoredCheckpoint> | undefined;
  /** Value of `receivedEvents` at the last checkpoint. */
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

  /** Reads the outputs that an earlier holder saved. Returns none when the store cannot be read. */
  async load(): Promise<readonly PartialOutput[]> {
    const read = await this.store.read<StoredCheckpoint>(this.key);
    if (!read.ok || !read.value) return [];
    this.record = read.value;
    return read.value.value.outputs;
  }

  /**
   * Saves the outputs when a checkpoint is due. `receivedEvents` is the number of events that this instance has
   * received for the job; it never falls.
   */
  run(receivedEvents: number, outputs: () => readonly PartialOutput[]): void {
    const sinceLastMs = this.clock.monotonicMs() - this.savedAtMs;
    if (this.saving || !shouldCheckpoint(receivedEvents - this.savedEvents, sinceLastMs)) return;
    this.savedEvents = receivedEvents;
    this.savedAtMs = this.clock.monotonicMs();
    void this.save(outputs());
  }

  /** Saves the outputs now. Does not overwrite a checkpoint that another holder has written since. */
  async save(outputs: readonly PartialOutput[]): Promise<void> {
    this.saving = true;
    const written = await this.store.write<StoredCheckpoint>(this.key, this.record, {
      outputs: outputsToSave(outputs),
    });
    this.saving = false;
    if (written.ok) this.record = written.value;
    this.metrics.count(written.ok ? 'batch_checkpoints' : 'batch_checkpoints_failed');
  }

  /** Deletes the checkpoint of a finished job. */
  async remove(): Promise<void> {
    if (this.record) await this.store.remove(this.record);
  }

  private get key(): string {
    return batchJobKeys.checkpoint(this.jobId);
  }
}
