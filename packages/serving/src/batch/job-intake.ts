/** Lets batch jobs that arrive together be taken in one after the other, as far as the memory requires it. */
import type { Outcome, Problem } from '@fighub/core';
import { fail, notRun, ok } from '@fighub/core';
import { IntakeBudget } from '@fighub/decisions';

/** Time after which a job that waits is refused, so that its caller can try another instance. */
const MAX_WAIT_MS = 1_500;
/** Another instance may have memory, so that callers need not wait. */
const NO_INTAKE_MEMORY = notRun('overloaded', 'the jobs of other callers fill the memory for them', 100);

/** A job that waits. `begin` is called once with whether it may be taken in. */
interface WaitingJob {
  readonly bodyBytes: number;
  readonly begin: (mayBegin: boolean) => void;
}

/** Takes jobs in in order of arrival. */
export class JobIntake {
  private readonly budget: IntakeBudget;
  private readonly waiting = new Set<WaitingJob>();

  constructor(
    memoryMb: number,
    private readonly maxWaitMs = MAX_WAIT_MS,
  ) {
    this.budget = new IntakeBudget(memoryMb);
  }

  /** Runs `takeIn` for a job of `bodyBytes` when there is memory for it. Fails with `overloaded` if that takes too long. */
  async run<T>(bodyBytes: number, takeIn: () => Promise<T>): Promise<Outcome<T, Problem>> {
    const mayBegin =
      (this.waiting.size === 0 && this.budget.tryTake(bodyBytes)) || (await this.wait(bodyBytes));
    if (!mayBegin) return fail(NO_INTAKE_MEMORY);
    try {
      return ok(await takeIn());
    } finally {
      this.budget.release(bodyBytes);
      this.beginNext();
    }
  }

  private wait(bodyBytes: number): Promise<boolean> {
    return new Promise((resolve) => {
      const job: WaitingJob = {
        bodyBytes,
        begin: (mayBegin) => {
          clearTimeout(timer);
          this.waiting.delete(job);
          resolve(mayBegin);
          if (!mayBegin) this.beginNext();
        },
      };
      const timer = setTimeout(() => job.begin(false), this.maxWaitMs);
      this.waiting.add(job);
    });
  }

  private beginNext(): void {
    const [next] = this.waiting;
    if (!next || !this.budget.tryTake(next.bodyBytes)) return;
    next.begin(true);
    this.beginNext();
  }
}
