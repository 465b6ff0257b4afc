/** The memory that the bodies of all requests of a process take while they arrive and are handled. */
/** Memory of a fixed size. */
export interface ByteBudget {
  /** Takes bytes; returns false, and takes nothing, if there is no room for them. */
  take(bytes: number): boolean;
  release(bytes: number): void;
}

/** Divides a budget among bodies. */
export class RequestBodies {
  constructor(private readonly budget: ByteBudget) {}

  /** Adds a body that has received nothing yet. */
  open(): HeldBody {
    return new HeldBody(this.budget);
  }
}

/** The memory of one body. */
export class HeldBody {
  private bytes = 0;
  private isReleased = false;

  constructor(private readonly budget: ByteBudget) {}

  /** Takes `bytes` for what has arrived; returns false if there is no room for them, or if the memory was given back. */
  tryTake(bytes: number): boolean {
    if (this.isReleased || !this.budget.take(bytes)) return false;
    this.bytes += bytes;
    return true;
  }

  /** Gives all bytes back, and takes none any more. */
  release(): void {
    this.isReleased = true;
    this.budget.release(this.bytes);
    this.bytes = 0;
  }
}
