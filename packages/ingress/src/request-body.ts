/** Reads the bodies of callers' requests, within limits of their size, of the memory for all of them, and of time. */
import type { IncomingMessage } from 'node:http';

import type { Outcome, Problem } from '@fighub/core';
import { BodyParts, WaitLimit, fail, notRun, ok } from '@fighub/core';

import type { HeldBody } from './request-bodies.js';

/** Another instance may have memory, so that callers need not wait. */
const NO_MEMORY = notRun('overloaded', 'the request bodies of other callers fill the memory', 100);
const CLOSED = notRun('bad_request', 'the connection closed before the end of the request body');
const TOO_LATE = notRun('deadline_passed', 'the request body did not arrive within the time limit');

/** What a body may take. */
export interface BodyLimits {
  readonly maxBytes: number;
  /** Monotonic time by which the body has to be complete. */
  readonly untilMs: number;
}

/**
 * Reads the whole body, so that it can be sent again to another replica and a truncated one is never forwarded. Fails at once when it
 * exceeds a limit: a caller that would have to wait for others to send their bodies is better served by another instance. A caller that
 * has lost its power or its path leaves a connection that does not end, so that its body is given up when the time limit has passed.
 * Rejects after an unexpected error, such as one for lack of memory.
 */
export async function readRequestBody(
  req: IncomingMessage,
  limits: BodyLimits,
  held: HeldBody,
): Promise<Outcome<Buffer, Problem>> {
  const parts = new BodyParts();
  const keep = (part: Buffer): Problem | undefined => {
    if (!held.tryTake(parts.memoryFor(part.length))) return NO_MEMORY;
    parts.add(part);
    return undefined;
  };
  const whole = (): Buffer => {
    held.complete();
    const body = parts.whole();
    parts.clear();
    return body;
  };
  const onGivenUp = (giveUp: (problem: Problem) => void): void => held.whenGivenUp(() => giveUp(NO_MEMORY));
  const body = await receive(req, limits, { keep, whole, clear: () => parts.clear(), onGivenUp });
  if (!body.ok) held.release();
  return body;
}

/** Reads a body that nobody needs, within the same limits, and keeps nothing of it. */
export function discardRequestBody(
  req: IncomingMessage,
  limits: BodyLimits,
): Promise<Outcome<undefined, Problem>> {
  const none = (): undefined => undefined;
  return receive(req, limits, { keep: none, whole: none, clear: none, onGivenUp: none });
}

/** What is done with the parts of a body. */
interface BodyReceiver<T> {
  /** Keeps a part; returns why the body cannot be kept. */
  readonly keep: (part: Buffer) => Problem | undefined;
  /** The body, after its last part. */
  readonly whole: () => T;
  /** Gives up what has arrived. */
  readonly clear: () => void;
  /** Passes what ends the reading from elsewhere. */
  readonly onGivenUp: (giveUp: (problem: Problem) => void) => void;
}

/**
 * Reads a body. Parts are taken as they are parsed, since the stream of a request keeps each of them as an object of some hundred bytes.
 * After a failure, what still arrives until the connection is closed is discarded.
 */
function receive<T>(
  req: IncomingMessage,
  { maxBytes, untilMs }: BodyLimits,
  receiver: BodyReceiver<T>,
): Promise<Outcome<T, Problem>> {
  return new Promise((resolve, reject) => {
    let size = 0;
    let isOver = false;
    const finish = (end: () => void): void => {
      if (isOver) return;
      isOver = true;
      limit.clear();
      end();
    };
    const giveUp = (problem: Problem): void =>
      finish(() => {
        receiver.clear();
        resolve(fail(problem));
      });
    const limit = new WaitLimit(untilMs - performance.now(), () => giveUp(TOO_LATE));
    receiver.onGivenUp(giveUp);
    const onPart = (part: Buffer): void => {
      if (isOver) return;
      size += part.length;
      try {
        const problem = size > maxBytes ? tooLarge(maxBytes) : receiver.keep(part);
        if (problem) giveUp(problem);
      } catch (error) {
        finish(() => reject(error as Error));
      }
    };
    const onEnd = (): void => {
      try {
        resolve(ok(receiver.whole()));
      } catch (error) {
        reject(error as Error);
      }
    };
    req.on('data', onPart);
    req.once('end', () => finish(onEnd));
    req.on('error', () => giveUp(CLOSED));
    req.once('close', () => giveUp(CLOSED));
  });
}

function tooLarge(maxBytes: number): Problem {
  return notRun('body_too_large', `request body exceeds the limit of ${String(maxBytes)} bytes`);
}
