/** Decides how long a batch item waits for a replica that can continue the output that it has received so far. */

/**
 * How long an item waits for a slot where its output can be continued before it accepts any slot and starts anew, in
 * milliseconds. Waiting as long as it took to receive the output costs at most twice the better choice, however long
 * the wait would be.
 */
export function continuationWaitMs(receivedInMs: number): number {
  return Math.max(0, Math.ceil(receivedInMs));
}
