/** The memory that the bodies of all requests of a process take while they arrive and are handled. */
import type { BufferBudget } from '@fighub/decisions';
import { IncompleteBodies } from '@fighub/decisions';

/** What bodies need of a budget. */
type ByteBudget = Pick<BufferBudget, 'take' | 'release'>;

/** Divides a budget among bodies. A body that is still arriving may be given up for another one. */
export class RequestBodies {
  private readonly incomplete = new IncompleteBodies<HeldBody>();

  constructor(private readonly budget: ByteBudget) {}

  /** Adds a body that has received nothing yet. */
  open(): HeldBody {
    return new HeldBody(this.budget, this.incomplete);
  }
}

/** The memory of one body. */
export class HeldBody {
  private bytes = 0;
  private isReleased = false;
  private onGivenUp: () => void = () => undefined;

  constructor(
    private readonly budget: ByteBudget,
    private readonly incomplete: IncompleteBodies<HeldBody>,
  ) {}

  /** Sets what is called when the body is given up for another one. Its memory is given back then. */
  whenGivenUp(listener: () => void): void {
    this.onGivenUp = listener;
  }

  /** Takes `bytes` for what has arrived; returns false if there is no room for them, or if the memory was given back. */
  tryTake(bytes: number): boolean {
    if (this.isReleased) return false;
    const nowMs = performance.now();
    while (!this.budget.take(bytes)) {
      const other = this.incomplete.givenUpFor(this, bytes, nowMs);
      if (!other) return false;
      other.giveUp();
    }
    this.bytes += bytes;
    this.incomplete.grew(this, bytes, nowMs);
    return true;
  }

  /** Records that the body is whole, and is not given up any more. */
  complete(): void {
    this.incomplete.remove(this);
  }

  /** Gives all bytes back, and may take others. */
  reset(): void {
    this.incomplete.remove(this);
    this.budget.release(this.bytes);
    this.bytes = 0;
  }

  /** Gives all bytes back, and takes none any more. */
  release(): void {
    this.isReleased = true;
    this.reset();
  }

  private giveUp(): void {
    this.release();
    this.onGivenUp();
  }
}
