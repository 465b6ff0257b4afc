/** Decides when a batch job's partial outputs are saved as a checkpoint, and which of them it contains. */
import type { StreamOrigin } from './stream-origins.js';

/** Output received so far for an item that has not finished. */
export interface PartialOutput {
  /** Index of the item within the job. */
  readonly index: number;
  readonly lastEventId: number;
  /** Where the output comes from. Checkpoints of earlier releases lack it; their outputs cannot be continued. */
  readonly origin?: StreamOrigin;
  /** Time that runs of the item have taken, in milliseconds. */
  readonly spentMs?: number;
  /** Data of the events received so far, separated by line feeds. */
  readonly text: string;
}

/** Shortest time between checkpoints. It bounds how much of each run is lost when the holder fails. */
const CHECKPOINT_PERIOD_MS = 2_000;
/** With fewer unsaved events than this, generating them again is quicker than saving them. */
const MIN_UNSAVED_EVENTS = 60;
/** A checkpoint is saved along with another write when the last one is at least this old. */
const MIN_CHECKPOINT_PERIOD_MS = CHECKPOINT_PERIOD_MS / 2;
/** Maximum bytes of the outputs as JSON; the store limits a value to 1 MB. */
const MAX_RECORD_BYTES = 500_000;

/** Whether enough events and enough time have accumulated since the last checkpoint to save another one. */
export function shouldCheckpoint(unsavedEvents: number, sinceLastMs: number): boolean {
  return unsavedEvents >= MIN_UNSAVED_EVENTS && sinceLastMs >= CHECKPOINT_PERIOD_MS;
}

/** Whether a checkpoint is worth saving if another write is made anyway. */
export function mayCheckpoint(unsavedEvents: number, sinceLastMs: number): boolean {
  return unsavedEvents >= MIN_UNSAVED_EVENTS && sinceLastMs >= MIN_CHECKPOINT_PERIOD_MS;
}

/**
 * Selects the outputs with the most events, since they are the costliest to generate again, up to the first one that
 * does not fit into the record.
 */
export function outputsToSave(outputs: readonly PartialOutput[]): PartialOutput[] {
  let bytes = 0;
  return [...outputs]
    .sort((a, b) => b.lastEventId - a.lastEventId)
    .filter((output) => {
      bytes += Buffer.byteLength(JSON.stringify(output));
      return bytes <= MAX_RECORD_BYTES;
    });
}
