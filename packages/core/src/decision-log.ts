/** Structured log lines for decisions, bounded by kind so that load cannot flood the log. */
import type { Clock } from './clock.js';
import type { Metrics } from './metrics.js';

/** How much a line matters when not all can be written. */
export const LogWeight = { routine: 'routine', failure: 'failure', state: 'state' } as const;
export type LogWeight = (typeof LogWeight)[keyof typeof LogWeight];

/** Writes one line. */
export interface LineWriter {
  info(fields: object, message: string): void;
  warn(fields: object, message: string): void;
}

/** Lines a second for each kind of event; changes of state are not limited. */
const LINES_PER_SECOND: Record<LogWeight, number> = {
  routine: 40,
  failure: 60,
  state: Number.POSITIVE_INFINITY,
};
const WINDOW_MS = 1_000;

interface KindWindow {
  startedAtMs: number;
  written: number;
  leftOut: number;
}

/** Logs decisions with the inputs that they were taken from. */
export class DecisionLog {
  private readonly windows = new Map<string, KindWindow>();

  constructor(
    private readonly writer: LineWriter,
    private readonly clock: Clock,
    private readonly metrics: Metrics,
  ) {}

  /** One line of the kind `event`. Past the budget of its kind it is counted and left out. */
  record(weight: LogWeight, event: string, fields: Readonly<Record<string, unknown>>): void {
    this.metrics.count(`decision_${event}`);
    const window = this.windowOf(event);
    if (window.written >= LINES_PER_SECOND[weight]) {
      window.leftOut += 1;
      return;
    }
    window.written += 1;
    const line = window.leftOut > 0 ? { event, ...fields, leftOut: window.leftOut } : { event, ...fields };
    window.leftOut = 0;
    if (weight === LogWeight.failure) this.writer.warn(line, event);
    else this.writer.info(line, event);
  }

  private windowOf(event: string): KindWindow {
    const nowMs = this.clock.monotonicMs();
    const known = this.windows.get(event);
    if (known && nowMs - known.startedAtMs < WINDOW_MS) return known;
    const started = { startedAtMs: nowMs, written: 0, leftOut: known?.leftOut ?? 0 };
    this.windows.set(event, started);
    return started;
  }
}
