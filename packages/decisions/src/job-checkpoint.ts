/** Decides when the partial outputs of a job's items are saved, and which of them. */

/** Output of an item that is not finished. */
export interface PartialOutput {
  readonly index: number;
  readonly lastEventId: number;
  /** Data of the events so far, separated by line feeds. */
  readonly text: string;
}

/** A holder that dies loses at most this much of each run, in milliseconds. */
const PERIOD_MS = 2_000;
/** Less than this is quicker to run again than to save. */
const MIN_UNSAVED_EVENTS = 60;
/** A stored value ends at 1 MiB and escapes take room. */
const MAX_CHARACTERS = 500_000;

/** Whether enough has come since the last checkpoint. */
export function shouldCheckpoint(unsavedEvents: number, sinceLastMs: number): boolean {
  return unsavedEvents >= MIN_UNSAVED_EVENTS && sinceLastMs >= PERIOD_MS;
}

/** The outputs that fit into one record: those that would cost most to run again. */
export function outputsToSave(outputs: readonly PartialOutput[]): PartialOutput[] {
  let characters = 0;
  return [...outputs]
    .sort((a, b) => b.lastEventId - a.lastEventId)
    .filter((output) => {
      characters += output.text.length;
      return characters <= MAX_CHARACTERS;
    });
}
