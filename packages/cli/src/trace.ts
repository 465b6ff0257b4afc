/** Finds the lines about one request, item or job in the logs of many processes. */

/** One log line that was read. */
export interface TraceLine {
  readonly timeUnixMs: number;
  readonly instance: string;
  readonly event: string;
  readonly fields: Readonly<Record<string, unknown>>;
}

const COMMON_FIELDS: ReadonlySet<string> = new Set(['level', 'time', 'instance', 'event', 'msg']);

/** The lines in which a field is `id`, in order of time. Lines that are not JSON objects are passed over. */
export function traceOf(id: string, lines: readonly string[]): TraceLine[] {
  return parseLines(lines)
    .filter((line) => Object.values(line.fields).includes(id))
    .sort((a, b) => a.timeUnixMs - b.timeUnixMs);
}

/** The lines that are log lines; others are passed over. */
export function parseLines(lines: readonly string[]): TraceLine[] {
  return lines.flatMap((line) => parseLine(line));
}

/** One line of text for people. */
export function formatLine(line: TraceLine, firstUnixMs: number): string {
  const at = `+${String(line.timeUnixMs - firstUnixMs)} ms`.padStart(10);
  const fields = Object.entries(line.fields)
    .map(([name, value]) => `${name}=${typeof value === 'string' ? value : JSON.stringify(value)}`)
    .join(' ');
  return `${at}  ${line.instance}  ${line.event}  ${fields}`;
}

/** Collectors put text of their own before a line: the JSON object starts at the first brace. */
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
