/** The log of a process, from its first phase to the line about its end. */
import type { EndReason as Reason, ProcessEnd, ProcessPhase } from '@fighub/core';
import { EndReason, ProcessLife } from '@fighub/core';
import type { Logger } from 'pino';
import { pino } from 'pino';

import { LogOutput, StandardStream, writeLine } from './log-output.js';

/** Time for which the end of the process waits for the reader of its log. */
const LOG_END_LIMIT_MS = 250;
/** Level of the line about the end, which is written at every log level. */
const INFO_LEVEL = 30;

/** Logs the phases and the end of this process. Create one in a process. */
export class ProcessLog {
  /** It has the level and the name of the settings once these are known. */
  logger: Logger;
  private readonly life = new ProcessLife();
  private instanceName: string | undefined;
  private statedEnd: ProcessEnd | undefined;
  private hasEnded = false;

  constructor(private readonly output = new LogOutput(StandardStream.output)) {
    this.logger = pino({ base: null }, this.output);
    process.on('exit', (exitStatus) => this.writeEnd(exitStatus));
  }

  get phase(): ProcessPhase {
    return this.life.phase;
  }

  /** Lines that were dropped because nobody reads them. */
  get droppedLines(): number {
    return this.output.droppedLines;
  }

  useSettings(level: string, instanceName: string): void {
    this.instanceName = instanceName;
    this.logger = pino({ level, base: { instance: instanceName } }, this.output);
  }

  /** Logs a change of phase, with the time that the phase before took. */
  enter(phase: ProcessPhase): void {
    const change = this.life.enter(phase, performance.now());
    if (change) this.logger.info({ event: 'process_phase', ...change }, 'process_phase');
  }

  /** Describes an end at this moment. */
  endNow(reason: Reason, exitStatus: number, detail: string): ProcessEnd {
    return this.life.end(reason, exitStatus, detail, performance.now());
  }

  /** Writes the last line before the process ends, where what is still to be done may end it at once. */
  stateEnd(end: ProcessEnd): void {
    this.statedEnd ??= end;
    this.writeEnd(end.exitStatus);
  }

  /** Ends the process. */
  exit(end: ProcessEnd): never {
    this.statedEnd ??= end;
    process.exit(end.exitStatus);
  }

  /** Writes the last line of the process, whatever led to its exit: to standard error if the log does not take it. */
  private writeEnd(exitStatus: number): void {
    if (this.hasEnded) {
      // Lines that came after the last one.
      this.output.end('', LOG_END_LIMIT_MS);
      return;
    }
    this.hasEnded = true;
    const end = this.statedEnd ?? this.endNow(EndReason.unknown, exitStatus, '');
    const { droppedLines } = this.output;
    const head = { level: INFO_LEVEL, time: Date.now(), instance: this.instanceName };
    const event = 'process_ended';
    const line = `${JSON.stringify({ ...head, event, ...end, droppedLines, msg: event })}\n`;
    if (!this.output.end(line, LOG_END_LIMIT_MS)) writeLine(StandardStream.error, line, LOG_END_LIMIT_MS);
  }
}

/** Writes a message for the person who started the program to standard error. */
export function writeMessage(text: string): void {
  writeLine(StandardStream.error, `${text}\n`, LOG_END_LIMIT_MS);
}
