/** Errors returned to callers, in the form of RFC 9457 problem details. */

/** Whether an upstream may have executed any part of a refused or failed request. */
export const ExecutionStatus = { notRun: 'not_run', mayHaveRun: 'may_have_run' } as const;
export type ExecutionStatus = (typeof ExecutionStatus)[keyof typeof ExecutionStatus];

/** HTTP status of each error code. The codes are part of the public interfaces and must not change. */
export const ProblemStatus = {
  bad_request: 400,
  bad_json: 400,
  bad_header: 400,
  bad_item: 400,
  unauthenticated: 401,
  forbidden: 403,
  unknown_model: 404,
  unknown_service: 404,
  unknown_job: 404,
  unknown_row: 404,
  not_found: 404,
  method_not_allowed: 405,
  conflict: 409,
  key_reused: 409,
  in_progress: 409,
  row_changed: 409,
  body_too_large: 413,
  headers_too_large: 431,
  precondition_required: 428,
  limit_reached: 429,
  overloaded: 503,
  deadline_unreachable: 503,
  no_upstream: 503,
  store_unavailable: 503,
  keys_unconfirmed: 503,
  configuration_outdated: 503,
  not_accepted: 503,
  outcome_unknown: 503,
  draining: 503,
  upstream_failed: 502,
  deadline_passed: 504,
  prompt_crashes_upstream: 500,
  organisation_unsendable: 500,
  internal: 500,
} as const;
export type ProblemCode = keyof typeof ProblemStatus;

/** Codes of requests that would be refused again if their callers sent them again. */
const FINAL_CODES: ReadonlySet<ProblemCode> = new Set(['prompt_crashes_upstream', 'organisation_unsendable']);

/** Whether the caller must not be told to come back. */
export function isFinal(code: ProblemCode): boolean {
  return FINAL_CODES.has(code);
}

/** A refusal or failure as it is sent to a caller. */
export interface Problem {
  readonly code: ProblemCode;
  readonly run: ExecutionStatus;
  readonly detail: string;
  /** Time after which a retry by the caller may succeed, in milliseconds from now. */
  readonly retryAfterMs?: number;
  /** Current state of the resource, for conflicts. */
  readonly present?: unknown;
}

/** Creates a problem for a request of which nothing was sent to an upstream. `retryAfterMs` is counted from now. */
export function notRun(code: ProblemCode, detail: string, retryAfterMs?: number): Problem {
  return { code, run: ExecutionStatus.notRun, detail, retryAfterMs };
}

/** Creates a problem for a request that an upstream may have executed. */
export function mayHaveRun(code: ProblemCode, detail: string): Problem {
  return { code, run: ExecutionStatus.mayHaveRun, detail };
}

/** Returns the RFC 9457 document of a problem, to be sent as JSON. */
export function problemDocument(problem: Problem): Record<string, unknown> {
  return {
    type: `urn:fighub:problem:${problem.code}`,
    title: problem.code.replaceAll('_', ' '),
    status: ProblemStatus[problem.code],
    ...problem,
  };
}
