/** Helpers shared by all HTTP routes: request bodies and headers, responses, and authentication of callers. */
import type { Outcome, Problem, Role } from '@fighub/core';
import { ProblemStatus, fail, keyDigest, notRun, ok, problemDocument } from '@fighub/core';
import { BufferBudget } from '@fighub/decisions';
import type { HeldBody } from '@fighub/ingress';
import { RequestBodies, readRequestBody } from '@fighub/ingress';
import type { Request, Response } from 'restify';

import type { NamedOrganisation } from '../table/table-view.js';
import type { TableStore } from '../table/table-store.js';

/** The authenticated sender of a request. */
export interface Caller {
  readonly organisation: string;
  readonly role: Role;
}

/** Sends a problem document, or closes the connection if the headers have already been sent. */
export function sendProblem(res: Response, problem: Problem): void {
  // A response that has begun must not look complete.
  if (res.headersSent) {
    res.destroy();
    return;
  }
  // The connection cannot be reused while a part of the request body is still unread.
  if (!res.req.complete) res.setHeader('Connection', 'close');
  if (problem.retryAfterMs !== undefined) {
    res.setHeader('Retry-After', String(Math.max(1, Math.ceil(problem.retryAfterMs / 1_000))));
  }
  res.writeHead(ProblemStatus[problem.code], { 'Content-Type': 'application/problem+json' });
  res.end(JSON.stringify(problemDocument(problem)));
}

/** Sends a complete JSON response. */
export function sendJson(
  res: Response,
  status: number,
  body: unknown,
  headers: Record<string, string> = {},
): void {
  res.writeHead(status, { 'Content-Type': 'application/json', ...headers });
  res.end(JSON.stringify(body));
}

/** Memory for the bodies of requests that are being handled. */
const heldBodies = new WeakMap<Request, HeldBody>();
/** Time for a request body. */
const BODY_TIMEOUT_MS = 60_000;

/** Sets the memory that the body of a request takes, until its response has ended. */
export function holdBody(req: Request, res: Response, held: HeldBody): void {
  heldBodies.set(req, held);
  res.once('close', () => held.release());
}

/** The memory for the body of a request; without a limit if none was set. */
export function heldBodyOf(req: Request): HeldBody {
  return heldBodies.get(req) ?? new RequestBodies(new BufferBudget(Number.POSITIVE_INFINITY)).open();
}

/**
 * Reads a request body as UTF-8 text. Fails with `body_too_large` above `maxBytes`, with `bad_request` if the connection closes early,
 * with `overloaded` if there is no memory for it, and with `deadline_passed` if it does not arrive in time.
 */
export async function readBody(req: Request, maxBytes: number): Promise<Outcome<string, Problem>> {
  const untilMs = performance.now() + BODY_TIMEOUT_MS;
  const body = await readRequestBody(req, { maxBytes, untilMs }, heldBodyOf(req));
  return body.ok ? ok(body.value.toString('utf8')) : body;
}

/** Reads a JSON request body. Fails like `readBody`, and with `bad_json` if the body cannot be parsed. */
export async function readJson(req: Request, maxBytes: number): Promise<Outcome<unknown, Problem>> {
  const body = await readBody(req, maxBytes);
  if (!body.ok) return body;
  try {
    return ok(JSON.parse(body.value) as unknown);
  } catch (error) {
    return fail(notRun('bad_json', `request body is not valid JSON: ${(error as Error).message}`));
  }
}

/**
 * Authenticates requests by bearer key and checks the role of the caller. Keys belong to the organisations of the
 * table; the bootstrap key works before any organisation exists.
 */
export class Authenticator {
  private readonly bootstrapHash: string | undefined;

  constructor(
    private readonly table: TableStore,
    bootstrapAdminKey: string | undefined,
  ) {
    this.bootstrapHash = bootstrapAdminKey === undefined ? undefined : keyDigest(bootstrapAdminKey);
  }

  /**
   * The caller of a request. Fails with `unauthenticated` without a known key, and with `forbidden` if the role of
   * the caller is not among `roles`.
   */
  authenticate(req: Request, roles: readonly Role[]): Outcome<Caller, Problem> {
    const header = req.headers.authorization ?? '';
    const key = /^Bearer (\S{1,256})$/.exec(header)?.[1];
    if (key === undefined)
      return fail(notRun('unauthenticated', 'send the header Authorization: Bearer <key>'));
    const caller = this.callerOf(keyDigest(key));
    if (!caller) return fail(notRun('unauthenticated', 'unknown key'));
    if (!roles.includes(caller.role))
      return fail(notRun('forbidden', `the role ${caller.role} does not permit this request`));
    return ok(caller);
  }

  private callerOf(hash: string): Caller | undefined {
    if (hash === this.bootstrapHash) return { organisation: 'fleet', role: 'administrator' };
    const organisation: NamedOrganisation | undefined = this.table.view.organisationOfKey(hash);
    return organisation && { organisation: organisation.organisation, role: organisation.role };
  }
}

/**
 * The value of a header of 1 to `maxLength` visible ASCII characters; undefined if the header is absent. Fails with
 * `bad_header` if the value is malformed.
 */
export function textHeader(
  req: Request,
  name: string,
  maxLength: number,
): Outcome<string | undefined, Problem> {
  const value = req.headers[name];
  if (value === undefined) return ok(undefined);
  if (
    typeof value !== 'string' ||
    value.length === 0 ||
    value.length > maxLength ||
    !/^[\x21-\x7e]+$/.test(value)
  ) {
    return fail(
      notRun(
        'bad_header',
        `the header ${name} must consist of 1 to ${String(maxLength)} visible ASCII characters`,
      ),
    );
  }
  return ok(value);
}

/**
 * The value of a header that holds a Unix time in milliseconds; undefined if the header is absent. Fails with
 * `bad_header` if the value is not a positive integer.
 */
export function unixMsHeader(req: Request, name: string): Outcome<number | undefined, Problem> {
  const value = req.headers[name];
  if (value === undefined) return ok(undefined);
  const time = Number(value);
  if (typeof value !== 'string' || !Number.isSafeInteger(time) || time <= 0) {
    return fail(notRun('bad_header', `the header ${name} must be a Unix time in milliseconds`));
  }
  return ok(time);
}

/** Handles the requests of one route. Resolves once the response has been sent. */
export type RouteHandler = (req: Request, res: Response, caller: Caller) => Promise<void>;
export type { Request, Response } from 'restify';
