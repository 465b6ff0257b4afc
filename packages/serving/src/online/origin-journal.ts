/**
 * Keeps on disk where streams began, so that callers can take them up after all instances have lost power at the same time.
 * Only what a completed write has recorded is known again. A stream whose record is missing is refused, never joined
 * from two software versions.
 */
import type { Clock, DecisionLog, ManagedPart, Metrics, Outcome } from '@fighub/core';
import { LogCategory, sleep } from '@fighub/core';
import type { ExpiringRecord, RecordLog } from '@fighub/outside';
import type { KeptStream } from '@fighub/peers';
import { z } from 'zod';

/** Origins are written this often at most, many in one write. Those of the last period may be lost with the power. */
const WRITE_PERIOD_MS = 20;
/** Origins that may wait for a disk that does not respond; later ones are not recorded. */
const MAX_WAITING_ORIGINS = 20_000;
/** A start waits this long for a disk. What it brings later is restored then. */
const OPEN_WAIT_MS = 2_000;

const storedStream = z.object({
  requestId: z.string(),
  requestDigest: z.string().optional(),
  service: z.string(),
  softwareVersion: z.string(),
});

/** Opens the log, and returns it with the records that have not expired. Fails with the error of the disk. */
export type OpenLog = (
  nowUnixMs: number,
) => Promise<Outcome<{ log: RecordLog; records: readonly ExpiringRecord[] }, string>>;

/** Writes origins to a log. A disk that fails costs no request more than the origins that are missing later. */
export class OriginJournal implements ManagedPart {
  readonly name = 'origin journal';
  private records: RecordLog | undefined;
  private waiting: ExpiringRecord[] = [];
  private writing: Promise<void> | undefined;
  private timer: NodeJS.Timeout | undefined;
  private hasFailed = false;

  constructor(
    private readonly openLog: OpenLog,
    private readonly restore: (origins: readonly KeptStream[]) => void,
    private readonly clock: Clock,
    private readonly metrics: Metrics,
    private readonly log: DecisionLog,
  ) {}

  /** Restores the origins that earlier processes of this instance have recorded. Resolves without them if the disk does not respond. */
  async start(): Promise<void> {
    const wait = new AbortController();
    const opening = this.open()
      .catch((error: unknown) => this.reportFailure(String(error)))
      .finally(() => wait.abort());
    await Promise.race([opening, sleep(OPEN_WAIT_MS, wait.signal)]);
    if (!wait.signal.aborted) this.reportFailure('the disk does not respond');
  }

  private async open(): Promise<void> {
    const nowUnixMs = this.clock.nowUnixMs();
    const opened = await this.openLog(nowUnixMs);
    if (!opened.ok) {
      this.reportFailure(opened.error);
      return;
    }
    this.records = opened.value.log;
    const origins = opened.value.records.flatMap((record) => toRestored(record, nowUnixMs));
    this.restore(origins);
    this.metrics.count('stream_origins_restored', origins.length);
    this.log.record(LogCategory.state, 'stream_origins_restored', { origins: origins.length });
  }

  /** Records an origin with the next write. */
  add({ requestId, requestDigest, origin, keepForMs }: KeptStream): void {
    if (!this.records) return;
    if (this.waiting.length >= MAX_WAITING_ORIGINS) {
      this.metrics.count('stream_origins_not_recorded');
      return;
    }
    const expiresAtUnixMs = this.clock.nowUnixMs() + keepForMs;
    this.waiting.push({ value: { requestId, requestDigest, ...origin }, expiresAtUnixMs });
    this.timer ??= setTimeout(() => this.write(), WRITE_PERIOD_MS);
  }

  /** Writes what waits, and closes the log. */
  async stop(): Promise<void> {
    await this.writing;
    this.write();
    await this.writing;
    clearTimeout(this.timer);
    const { records } = this;
    this.records = undefined;
    await records?.close();
  }

  dump(): Record<string, unknown> {
    return { waiting: this.waiting.length, hasFailed: this.hasFailed };
  }

  private write(): void {
    clearTimeout(this.timer);
    this.timer = undefined;
    if (this.writing || this.waiting.length === 0) return;
    this.writing = this.writeWaiting().finally(() => {
      this.writing = undefined;
      if (this.waiting.length > 0) this.timer ??= setTimeout(() => this.write(), WRITE_PERIOD_MS);
    });
  }

  private async writeWaiting(): Promise<void> {
    const records = this.waiting;
    this.waiting = [];
    const written = await this.records?.append(records, this.clock.nowUnixMs());
    if (written?.ok) this.hasFailed = false;
    else {
      this.metrics.count('stream_origins_not_recorded', records.length);
      this.reportFailure(written?.error ?? 'the log is closed');
    }
  }

  /** Logs the first of several failures in a row. */
  private reportFailure(detail: string): void {
    if (!this.hasFailed) this.log.record(LogCategory.state, 'origin_journal_failed', { detail });
    this.hasFailed = true;
  }
}

/** None if another release has written the record in a form that is not known here. */
function toRestored({ value, expiresAtUnixMs }: ExpiringRecord, nowUnixMs: number): KeptStream[] {
  const stored = storedStream.safeParse(value);
  if (!stored.success) return [];
  const { requestId, requestDigest, ...origin } = stored.data;
  return [{ requestId, requestDigest, origin, keepForMs: expiresAtUnixMs - nowUnixMs }];
}
