/** Structured log lines for decisions. Each event is rate-limited, so that load cannot flood the log. */
import type { Clock } from './clock.js';
import type { Metrics } from './metrics.js';

/** Category of a log line, which determines its rate limit. Failures are logged as warnings. */
export const LogCategory = { routine: 'routine', failure: 'failure', state: 'state' } as const;
export type LogCategory = (typeof LogCategory)[keyof typeof LogCategory];

/** Destination of log lines, for example a pino logger. */
export interface LineWriter {
  info(fields: object, message: string): void;
  warn(fields: object, message: string): void;
}

/** Maximum lines per second for each event, by category. Changes of state are rare, unless something outside changes without end. */
const LINES_PER_SECOND: Record<LogCategory, number> = {
  routine: 40,
  failure: 60,
  state: 400,
};
const WINDOW_MS = 1_000;

/** Number of lines of one event that were written in the current window and dropped since the last written line. */
interface EventWindow {
  startedAtMs: number;
  written: number;
  leftOut: number;
}

/** Logs decisions together with the inputs on which they are based. */
export class DecisionLog {
  private readonly windows = new Map<string, EventWindow>();

  constructor(
    private readonly writer: LineWriter,
    private readonly clock: Clock,
    private readonly metrics: Metrics,
  ) {}

  /**
   * Logs one line for `event` and counts it as the metric `decision_<event>`. A line over the rate limit of its
   * event is dropped; the next line of the event that is written states the number of dropped lines as `leftOut`.
   */
  record(category: LogCategory, event: string, fields: Readonly<Record<string, unknown>>): void {
    this.metrics.count(`decision_${event}`);
    const window = this.windowOf(event);
    if (window.written >= LINES_PER_SECOND[category]) {
      window.leftOut += 1;
      return;
    }
    window.written += 1;
    const line = window.leftOut > 0 ? { event, ...fields, leftOut: window.leftOut } : { event, ...fields };
    window.leftOut = 0;
    if (category === LogCategory.failure) this.writer.warn(line, event);
    else this.writer.info(line, event);
  }

  private windowOf(event: string): EventWindow {
    const nowMs = this.clock.monotonicMs();
    const known = this.windows.get(event);
    if (known && nowMs - known.startedAtMs < WINDOW_MS) return known;
    const started = { startedAtMs: nowMs, written: 0, leftOut: known?.leftOut ?? 0 };
    this.windows.set(event, started);
    return started;
  }
}
