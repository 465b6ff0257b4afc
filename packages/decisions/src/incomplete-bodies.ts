/**
 * Decides which request body is given up when the memory for bodies is full. Answers callers that fill this memory with bodies that never
 * end: without it, every other caller is refused until their time limits have passed. A body that is given up was never whole, so that
 * nothing of its request has run.
 */

/** A body that has received nothing for this long gives way to any that receives something. */
const STALLED_AFTER_MS = 1_000;

/** What is known about a body that is still arriving. */
interface IncompleteBody {
  bytes: number;
  lastPartAtMs: number;
}

/** The bodies that are still arriving, and the memory that each takes. */
export class IncompleteBodies<Body extends object> {
  private readonly bodies = new Map<Body, IncompleteBody>();

  /** Records that a body takes `bytes` more. */
  grew(body: Body, bytes: number, nowMs: number): void {
    const known = this.bodies.get(body) ?? { bytes: 0, lastPartAtMs: nowMs };
    this.bodies.set(body, { bytes: known.bytes + bytes, lastPartAtMs: nowMs });
  }

  /** Records that a body is whole or was given up. */
  remove(body: Body): void {
    this.bodies.delete(body);
  }

  /**
   * The body that is given up so that `body` can take `bytes` more: the largest of those that are stalled, else the largest one if `body`
   * stays smaller. Undefined if `body` itself has to be refused.
   */
  givenUpFor(body: Body, bytes: number, nowMs: number): Body | undefined {
    const others = [...this.bodies].filter(([other, known]) => other !== body && known.bytes > 0);
    const stalled = others.filter(([, known]) => nowMs - known.lastPartAtMs >= STALLED_AFTER_MS);
    const largestStalled = largest(stalled);
    if (largestStalled) return largestStalled[0];
    const largestOther = largest(others);
    const wantedBytes = (this.bodies.get(body)?.bytes ?? 0) + bytes;
    return largestOther && largestOther[1].bytes > wantedBytes ? largestOther[0] : undefined;
  }
}

function largest<Body>(
  bodies: readonly (readonly [Body, IncompleteBody])[],
): readonly [Body, IncompleteBody] | undefined {
  return bodies.reduce<readonly [Body, IncompleteBody] | undefined>(
    (found, next) => (found && found[1].bytes >= next[1].bytes ? found : next),
    undefined,
  );
}
