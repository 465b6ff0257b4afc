/** Attempts of one request at several replicas, of which only the first one that responds reaches the caller. */

/** One attempt in a race. */
export interface Racer {
  /** Stops the attempt; what it brings from now on is dropped. */
  abandon(): void;
}

/** Lets the first attempt win that has something to pass on, and abandons the others at once. */
export class AttemptRace {
  private readonly racers: Racer[] = [];
  private winner: Racer | undefined;
  private endedCount = 0;
  private readonly decision = new AbortController();

  /** Aborted when an attempt has won or ended, so that no copy is to be sent any more. */
  get decided(): AbortSignal {
    return this.decision.signal;
  }

  /** Whether more than one attempt runs and none has won. */
  get isOpen(): boolean {
    return this.winner === undefined && this.racers.length - this.endedCount > 1;
  }

  add(racer: Racer): void {
    this.racers.push(racer);
  }

  /** Claims the response for `racer`. Returns false if another attempt has won. */
  tryWin(racer: Racer): boolean {
    if (this.winner === undefined) {
      this.winner = racer;
      this.racers.filter((other) => other !== racer).forEach((other) => other.abandon());
      this.decision.abort();
    }
    return this.winner === racer;
  }

  /** To be called when an attempt has ended, whether it has won or not. */
  onEnded(): void {
    this.endedCount += 1;
    this.decision.abort();
  }
}
