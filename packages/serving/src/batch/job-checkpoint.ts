/** Stores the partial outputs of one batch job, so that its next holder can resume them. */
import type { Clock, Metrics } from '@fighub/core';
import { batchJobKeys } from '@fighub/core';
import type { PartialOutput } from '@fighub/decisions';
import { outputsToSave, mayCheckpoint, shouldCheckpoint } from '@fighub/decisions';
import type { RecordStore, Versioned } from '@fighub/outside';
import { StoreErrorKind } from '@fighub/outside';

import type { JobWrite, JobWriteOutcome } from './job-writes.js';
import { writeTogether } from './job-writes.js';

/** The stored record of a checkpoint. */
interface StoredCheckpoint {
  readonly outputs: readonly PartialOutput[];
}

/** The checkpoint of a finished job is deleted by itself when this long has passed since its last write. */
const REMOVE_AFTER_MS = 5_000;

/**
 * Prepares the writes that save the partial outputs of a job's unfinished items, so that the next holder resumes their
 * streams. A lost checkpoint costs only time, since the items are then run from the start.
 */
export class JobCheckpoint {
  private record: Versioned<StoredCheckpoint> | undefined;
  /** Number of received events at the last checkpoint. */
  private savedEvents = 0;
  private savedAtMs: number;
  private writing = false;

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
   * Whether a checkpoint is due. `receivedEvents` is the number of events that this instance has received for the job;
   * it never falls.
   */
  isDue(receivedEvents: number): boolean {
    return !this.writing && shouldCheckpoint(receivedEvents - this.savedEvents, this.sinceLastMs);
  }

  /** The write of a checkpoint, if it is due, or soon enough to be saved along with other writes. */
  takeWrite(receivedEvents: number, outputs: () => readonly PartialOutput[]): JobWrite[] {
    if (this.writing || !mayCheckpoint(receivedEvents - this.savedEvents, this.sinceLastMs)) return [];
    this.savedEvents = receivedEvents;
    this.savedAtMs = this.clock.monotonicMs();
    return [this.writeOf(outputs())];
  }

  /** Saves the outputs now. Does not overwrite a checkpoint that another holder has written since. */
  async save(outputs: readonly PartialOutput[]): Promise<void> {
    await writeTogether(this.store, [this.writeOf(outputs)]);
  }

  /** Whether the checkpoint of a finished job is to be deleted even if nothing else is written. */
  get isRemovalDue(): boolean {
    return this.record !== undefined && !this.writing && this.sinceLastMs >= REMOVE_AFTER_MS;
  }

  /** The deletion of the checkpoint of a finished job, if there is one. */
  takeRemoval(): JobWrite[] {
    const { record } = this;
    if (!record || this.writing) return [];
    this.savedAtMs = this.clock.monotonicMs();
    this.writing = true;
    const settle = (outcome: JobWriteOutcome): void => {
      this.writing = false;
      // After a conflict another holder has written or deleted it.
      if (outcome.ok || outcome.error.kind === StoreErrorKind.conflict) this.record = undefined;
    };
    return [{ changes: [{ key: this.key, previous: record }], keys: 1, bytes: 0, settle }];
  }

  private get sinceLastMs(): number {
    return this.clock.monotonicMs() - this.savedAtMs;
  }

  private writeOf(outputs: readonly PartialOutput[]): JobWrite {
    this.writing = true;
    const value: StoredCheckpoint = { outputs: outputsToSave(outputs) };
    return {
      changes: [{ key: this.key, previous: this.record, value }],
      keys: 1,
      bytes: value.outputs.reduce((sum, output) => sum + output.text.length, 0),
      settle: (outcome) => {
        this.writing = false;
        const written = outcome.ok ? outcome.value.get(this.key) : undefined;
        if (written) this.record = written as Versioned<StoredCheckpoint>;
        this.metrics.count(written ? 'batch_checkpoints' : 'batch_checkpoints_failed');
      },
    };
  }

  private get key(): string {
    return batchJobKeys.checkpoint(this.jobId);
  }
}
