/** Helpers of all HTTP routes: bodies, problems, authentication. */
import type { Outcome, Problem, Role } from '@fighub/core';
import { ProblemStatus, digest, fail, notRun, ok, problemDocument } from '@fighub/core';
import type { Request, Response } from 'restify';

import type { NamedOrganisation } from '../table/table-view.js';
import type { TableStore } from '../table/table-store.js';

/** Who makes a request. */
export interface Caller {
  readonly organisation: string;
  readonly role: Role;
}

/** Digest of a key as stored in the table. */
export function keyHash(key: string): string {
  return digest('key', key);
}

/** Sends a problem document. */
export function sendProblem(res: Response, problem: Problem): void {
  if (res.headersSent) {
    res.end();
    return;
  }
  // A body that was not read to its end leaves the connection unusable.
  if (!res.req.complete) res.setHeader('Connection', 'close');
  if (problem.retryAfterMs !== undefined) {
    res.setHeader('Retry-After', String(Math.max(1, Math.ceil(problem.retryAfterMs / 1_000))));
  }
  res.writeHead(ProblemStatus[problem.code], { 'Content-Type': 'application/problem+json' });
  res.end(JSON.stringify(problemDocument(problem)));
}

/** Sends a JSON document. */
export function sendJson(
  res: Response,
  status: number,
  body: unknown,
  headers: Record<string, string> = {},
): void {
  res.writeHead(status, { 'Content-Type': 'application/json', ...headers });
  res.end(JSON.stringify(body));
}

/** Reads a body up to a limit. */
export async function readBody(req: Request, maxBytes: number): Promise<Outcome<string, Problem>> {
  const parts: Buffer[] = [];
  let size = 0;
  try {
    for await (const part of req as AsyncIterable<Buffer>) {
      size += part.length;
      if (size > maxBytes)
        return fail(notRun('body_too_large', `the body is over ${String(maxBytes)} bytes`));
      parts.push(part);
    }
  } catch {
    return fail(notRun('bad_request', 'the body broke off'));
  }
  return ok(Buffer.concat(parts).toString('utf8'));
}

/** Reads a JSON body. */
export async function readJson(req: Request, maxBytes: number): Promise<Outcome<unknown, Problem>> {
  const body = await readBody(req, maxBytes);
  if (!body.ok) return body;
  try {
    return ok(JSON.parse(body.value) as unknown);
  } catch (error) {
    return fail(notRun('bad_json', `the body is not JSON: ${(error as Error).message}`));
  }
}

/** Finds the caller by bearer key and checks the role. */
export class Authenticator {
  private readonly bootstrapHash: string | undefined;

  constructor(
    private readonly table: TableStore,
    bootstrapAdminKey: string | undefined,
  ) {
    this.bootstrapHash = bootstrapAdminKey === undefined ? undefined : keyHash(bootstrapAdminKey);
  }

  /** The caller of a request, if its role is among `roles`. */
  authenticate(req: Request, roles: readonly Role[]): Outcome<Caller, Problem> {
    const header = req.headers.authorization ?? '';
    const key = /^Bearer (\S{1,256})$/.exec(header)?.[1];
    if (key === undefined)
      return fail(notRun('unauthenticated', 'send the header Authorization: Bearer <key>'));
    const caller = this.callerOf(keyHash(key));
    if (!caller) return fail(notRun('unauthenticated', 'the key is not known'));
    if (!roles.includes(caller.role))
      return fail(notRun('forbidden', `the role ${caller.role} may not do this`));
    return ok(caller);
  }

  private callerOf(hash: string): Caller | undefined {
    if (hash === this.bootstrapHash) return { organisation: 'fleet', role: 'administrator' };
    const organisation: NamedOrganisation | undefined = this.table.view.organisationOfKey(hash);
    return organisation && { organisation: organisation.organisation, role: organisation.role };
  }
}

/** A header that must be a single line of at most `maxLength` visible characters. */
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
      notRun('bad_header', `the header ${name} must have 1 to ${String(maxLength)} visible characters`),
    );
  }
  return ok(value);
}

/** A header that must be a time in milliseconds since 1970. */
export function unixMsHeader(req: Request, name: string): Outcome<number | undefined, Problem> {
  const value = req.headers[name];
  if (value === undefined) return ok(undefined);
  const time = Number(value);
  if (typeof value !== 'string' || !Number.isSafeInteger(time) || time <= 0) {
    return fail(notRun('bad_header', `the header ${name} must be a time in milliseconds since 1970`));
  }
  return ok(time);
}

/** A route's work: resolves when the response has been handled. */
export type RouteHandler = (req: Request, res: Response, caller: Caller) => Promise<void>;
export type { Request, Response } from 'restify';
