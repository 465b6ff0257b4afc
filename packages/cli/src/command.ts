/** Parts that all operators' commands share: address, key, output and exit codes. */
import { ApiClient } from '@fighub/client';
import type { ApiError } from '@fighub/client';
import type { Outcome } from '@fighub/core';

/** Exit codes that scripts can use. */
export const ExitCode = {
  ok: 0,
  /** The instance refused or could not do it. */
  failed: 1,
  /** The command line is wrong. */
  usage: 2,
  /** Another operator has changed the row. */
  conflict: 3,
  /** No instance answered. */
  noAnswer: 4,
} as const;
export type ExitCode = (typeof ExitCode)[keyof typeof ExitCode];

/** Flags of every command. */
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

/** A client from the common flags. */
export function clientOf(flags: { address: string; key: string }): ApiClient {
  return new ApiClient(flags.address, flags.key);
}

/** Runs one command of a binary. */
export type Command = () => Promise<void>;

/** Runs the command that the first word names. */
export async function runCommand(commands: Readonly<Record<string, Command>>, verb: string): Promise<void> {
  const run = commands[verb];
  if (run) await run();
  else failWith(ExitCode.usage, `unknown command "${verb}"; see --help`);
}

// A reader such as `head` may close its end early: that is no error of the command.
process.stdout.on('error', (error: NodeJS.ErrnoException) => {
  if (error.code === 'EPIPE') process.exit(ExitCode.ok);
  throw error;
});

/** Prints a line on standard output. */
export function print(line: string): void {
  process.stdout.write(`${line}\n`);
}

/** Prints an error and sets the exit code. */
export function failWith(code: ExitCode, message: string): void {
  process.stderr.write(`${message}\n`);
  process.exitCode = code;
}

/** Prints the value of a call, or its error with the matching exit code. */
export function report<T>(outcome: Outcome<T, ApiError>, json: boolean, asText: (value: T) => string): void {
  if (outcome.ok) print(json ? JSON.stringify(outcome.value) : asText(outcome.value));
  else reportError(outcome.error, json);
}

/** Prints the error of a call. */
export function reportError(error: ApiError, json: boolean): void {
  const run = error.run === undefined ? '' : ` (${error.run})`;
  failWith(exitCodeOf(error), json ? JSON.stringify(error) : `${error.code}${run}: ${error.detail}`);
}

/** Exit code of a failed call. */
export function exitCodeOf(error: ApiError): ExitCode {
  if (error.status === 0) return ExitCode.noAnswer;
  return error.status === 409 ? ExitCode.conflict : ExitCode.failed;
}
