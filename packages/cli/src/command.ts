/** Shared by the command-line tools of operators: common flags, output and exit codes. */
import { ApiClient } from '@fighub/client';
import type { ApiError } from '@fighub/client';
import type { Outcome } from '@fighub/core';

/** Exit codes of the tools, for use in scripts. */
export const ExitCode = {
  ok: 0,
  /** The instance refused the request or failed to execute it. */
  failed: 1,
  /** The command line is wrong. */
  usage: 2,
  /**
   * The request conflicts with the present state, for example because another operator has changed the row or the
   * idempotency key belongs to another request.
   */
  conflict: 3,
  /** The instance did not respond. */
  noResponse: 4,
} as const;
export type ExitCode = (typeof ExitCode)[keyof typeof ExitCode];

/** Flags of all tools that call an instance. */
export const COMMON_FLAGS = {
  address: { type: 'string', default: process.env.FIGHUB_ADDRESS ?? 'http://127.0.0.1:8080' },
  key: { type: 'string', default: process.env.FIGHUB_KEY ?? '' },
  json: { type: 'boolean', default: false },
} as const;

/** Help text of the common flags. */
export const COMMON_HELP = `
    --address  Address of any instance; default $FIGHUB_ADDRESS
    --key      Key of an organisation; default $FIGHUB_KEY
    --json     Print JSON`;

/** Creates a client from the common flags. */
export function clientOf(flags: { address: string; key: string }): ApiClient {
  return new ApiClient(flags.address, flags.key);
}

/** Runs one subcommand of a tool. */
export type Subcommand = () => Promise<void>;

/** Runs the subcommand `name`. An unknown name sets the exit code for wrong usage. */
export async function runSubcommand(
  subcommands: Readonly<Record<string, Subcommand>>,
  name: string,
): Promise<void> {
  const run = subcommands[name];
  if (run) await run();
  else failWith(ExitCode.usage, `unknown subcommand "${name}"; see --help`);
}

// A reader such as `head` may close the pipe early, which is not an error of the tool.
process.stdout.on('error', (error: NodeJS.ErrnoException) => {
  if (error.code === 'EPIPE') process.exit(ExitCode.ok);
  throw error;
});

/** Prints a line on standard output. */
export function print(line: string): void {
  process.stdout.write(`${line}\n`);
}

/** Prints an error on standard error and sets the exit code, without ending the process. */
export function failWith(code: ExitCode, message: string): void {
  process.stderr.write(`${message}\n`);
  process.exitCode = code;
}

/** Prints the result of a call as text or JSON, or its error with the matching exit code. */
export function report<T>(outcome: Outcome<T, ApiError>, json: boolean, asText: (value: T) => string): void {
  if (outcome.ok) print(json ? JSON.stringify(outcome.value) : asText(outcome.value));
  else reportError(outcome.error, json);
}

/** Prints the error of a call and sets the matching exit code. */
export function reportError(error: ApiError, json: boolean): void {
  const run = error.run === undefined ? '' : ` (${error.run})`;
  failWith(exitCodeOf(error), json ? JSON.stringify(error) : `${error.code}${run}: ${error.detail}`);
}

/** The exit code of a failed call. */
export function exitCodeOf(error: ApiError): ExitCode {
  if (error.status === 0) return ExitCode.noResponse;
  return error.status === 409 ? ExitCode.conflict : ExitCode.failed;
}
