/** Finds the log lines about one request, item or job in the logs of many processes. */

/** One parsed log line. */
export interface TraceLine {
  readonly timeUnixMs: number;
  readonly instance: string;
  readonly event: string;
  /** All fields except the common ones. */
  readonly fields: Readonly<Record<string, unknown>>;
}

/** Fields that are part of every log line. */
const COMMON_FIELDS: ReadonlySet<string> = new Set(['level', 'time', 'instance', 'event', 'msg']);

/** The log lines with a field whose value is `id`, in order of time. Other lines are ignored. */
export function traceOf(id: string, lines: readonly string[]): TraceLine[] {
  return parseLines(lines)
    .filter((line) => Object.values(line.fields).includes(id))
    .sort((a, b) => a.timeUnixMs - b.timeUnixMs);
}

/** Parses log lines. Lines that are not JSON objects with a time and an event are ignored. */
export function parseLines(lines: readonly string[]): TraceLine[] {
  return lines.flatMap((line) => parseLine(line));
}

/** Formats a log line as text, with its time relative to `firstUnixMs`. */
export function formatLine(line: TraceLine, firstUnixMs: number): string {
  const at = `+${String(line.timeUnixMs - firstUnixMs)} ms`.padStart(10);
  const fields = Object.entries(line.fields)
    .map(([name, value]) => `${name}=${typeof value === 'string' ? value : JSON.stringify(value)}`)
    .join(' ');
  return `${at}  ${line.instance}  ${line.event}  ${fields}`;
}

/** Parses one log line. A log collector may add a prefix, so the JSON object starts at the first brace. */
function parseLine(line: string): TraceLine[] {
  const start = line.indexOf('{');
  if (start < 0) return [];
  try {
    const parsed = JSON.parse(line.slice(start)) as Record<string, unknown>;
    const { time, instance, event } = parsed;
    if (typeof time !== 'number' || typeof event !== 'string') return [];
    const fields = Object.fromEntries(Object.entries(parsed).filter(([name]) => !COMMON_FIELDS.has(name)));
    return [{ timeUnixMs: time, instance: typeof instance === 'string' ? instance : '', event, fields }];
  } catch {
    return [];
  }
}
