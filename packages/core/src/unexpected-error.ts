/**
 * Errors that nobody expects. One that is thrown while a single request, item or job is served ends only that one; a violated invariant
 * ends the process, since its state can no longer be relied on.
 */
import { InvariantError } from './invariant.js';

/** Frames of a stack that a log line holds. */
const MAX_STACK_LINES = 6;

/** Whether the process cannot safely continue after an error. */
export function isFatalError(error: unknown): boolean {
  return error instanceof InvariantError;
}

/** Runs work that nothing waits for. An error of it ends nothing else: it is passed to `report` with the name of the work. */
export class BackgroundTasks {
  constructor(private readonly report: (task: string, error: unknown) => void) {}

  /** Begins `work` at once. `task` names it in the report. */
  run(task: string, work: () => unknown): void {
    void this.finish(task, work);
  }

  /** Begins `work` at once, and resolves when it has ended, also by an error. */
  async finish(task: string, work: () => unknown): Promise<void> {
    try {
      await work();
    } catch (error) {
      this.report(task, error);
    }
  }
}

/** Fields of the log line about an unexpected error. */
export function errorFields(error: unknown): { readonly error: string; readonly stack?: string } {
  if (!(error instanceof Error)) return { error: String(error) };
  const stack = error.stack?.split('\n').slice(1, 1 + MAX_STACK_LINES);
  return {
    error: `${error.name}: ${error.message}`,
    stack: stack?.map((line) => line.trimStart()).join('; '),
  };
}
