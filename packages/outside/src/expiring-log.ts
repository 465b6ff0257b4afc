/**
 * Records on disk that expire soon, for what an instance should know again after a loss of power. They are appended to one of two
 * files; when that one is large, the other one is emptied once its records have expired. Each write has a digest, so
 * that one that power was lost in is recognised and left out.
 */
import { constants } from 'node:fs';
import { mkdir, open } from 'node:fs/promises';
import type { FileHandle } from 'node:fs/promises';
import { dirname, join } from 'node:path';

import type { Outcome } from '@fighub/core';
import { digest, fail, ok } from '@fighub/core';
import VError from 'verror';

import { parseJson } from './json.js';

/** A record and when it may be forgotten. The value can be represented as JSON. */
export interface ExpiringRecord {
  readonly value: unknown;
  readonly expiresAtUnixMs: number;
}

/** Where records are kept. */
export interface RecordLog {
  /** Appends records, which are on disk when it succeeds; fails with the error of the file system. */
  append(records: readonly ExpiringRecord[], nowUnixMs: number): Promise<Outcome<void, string>>;
  close(): Promise<void>;
}

interface LogFile {
  readonly handle: FileHandle;
  bytes: number;
  lastExpiryUnixMs: number;
}

const FILE_COUNT = 2;
/** From this size on, the other file is used as soon as its records have expired. */
const SWITCH_AT_BYTES = 1_000_000;
/** At this size the other file is used in any case, and records in it that have not expired are lost. */
const MAX_FILE_BYTES = 16_000_000;
/** A larger file was not written by this log. It is emptied, since it might not fit into memory. */
const MAX_READ_BYTES = 2 * MAX_FILE_BYTES;
const DIGEST_CHARACTERS = 16;

/** A log that is open for appending. */
export class ExpiringLog implements RecordLog {
  private constructor(
    private readonly files: LogFile[],
    private current: number,
  ) {}

  /**
   * Opens the log `name` in `directory`, which is created if necessary, and returns the records that have not expired. Fails
   * with the error of the file system.
   */
  static async open(
    directory: string,
    name: string,
    nowUnixMs: number,
  ): Promise<Outcome<{ log: ExpiringLog; records: ExpiringRecord[] }, string>> {
    try {
      await createFolder(directory);
      const paths = Array.from({ length: FILE_COUNT }, (_, index) =>
        join(directory, `${name}-${String(index)}.log`),
      );
      const opened = await Promise.all(paths.map(openFile));
      const records = opened.flatMap((file) => file.records);
      const files = opened.map(({ file }) => file);
      const current = files.findIndex(({ bytes }) => bytes < SWITCH_AT_BYTES);
      return ok({
        log: new ExpiringLog(files, Math.max(0, current)),
        records: records.filter(({ expiresAtUnixMs }) => expiresAtUnixMs > nowUnixMs),
      });
    } catch (error) {
      return fail(String(error));
    }
  }

  async append(records: readonly ExpiringRecord[], nowUnixMs: number): Promise<Outcome<void, string>> {
    try {
      const file = await this.fileToAppendTo(nowUnixMs);
      if (!file) return fail('the log is closed');
      const block = encodeBlock(records);
      await file.handle.appendFile(block);
      await file.handle.datasync();
      file.bytes += Buffer.byteLength(block);
      file.lastExpiryUnixMs = lastExpiry(records, file.lastExpiryUnixMs);
      return ok(undefined);
    } catch (error) {
      return fail(String(error));
    }
  }

  async close(): Promise<void> {
    // What the file system reports here concerns no record that was acknowledged.
    await Promise.allSettled(this.files.splice(0).map(({ handle }) => handle.close()));
  }

  private async fileToAppendTo(nowUnixMs: number): Promise<LogFile | undefined> {
    const file = this.files[this.current];
    const next = (this.current + 1) % FILE_COUNT;
    const other = this.files[next];
    if (!file || !other || file.bytes < SWITCH_AT_BYTES) return file;
    if (other.lastExpiryUnixMs > nowUnixMs && file.bytes < MAX_FILE_BYTES) return file;
    await other.handle.truncate(0);
    other.bytes = 0;
    other.lastExpiryUnixMs = Number.NEGATIVE_INFINITY;
    this.current = next;
    return other;
  }
}

/** Some file systems, on which no folder can be created, keep a recursive `mkdir` of Node.js busy without end. */
async function createFolder(path: string, createParent = true): Promise<void> {
  try {
    await mkdir(path);
  } catch (error) {
    const { code } = error as NodeJS.ErrnoException;
    if (code === 'EEXIST') return;
    if (code !== 'ENOENT' || !createParent) throw error;
    await createFolder(dirname(path));
    await createFolder(path, false);
  }
}

async function openFile(path: string): Promise<{ file: LogFile; records: ExpiringRecord[] }> {
  const handle = await open(
    path,
    constants.O_RDWR | constants.O_APPEND | constants.O_CREAT | constants.O_NONBLOCK,
  );
  const status = await handle.stat();
  if (!status.isFile()) {
    await handle.close();
    throw new VError('%s is not a file', path);
  }
  if (status.size > MAX_READ_BYTES) await handle.truncate(0);
  const text = await handle.readFile('utf8');
  const records = text.split('\n').flatMap(decodeBlock);
  const bytes = Buffer.byteLength(text);
  return {
    file: { handle, bytes, lastExpiryUnixMs: lastExpiry(records, Number.NEGATIVE_INFINITY) },
    records,
  };
}

function lastExpiry(records: readonly ExpiringRecord[], atLeastUnixMs: number): number {
  return records.reduce((last, { expiresAtUnixMs }) => Math.max(last, expiresAtUnixMs), atLeastUnixMs);
}

/** One line. It begins on a new one, since the write before may have ended in the middle. */
function encodeBlock(records: readonly ExpiringRecord[]): string {
  const text = JSON.stringify(records.map(({ value, expiresAtUnixMs }) => [expiresAtUnixMs, value]));
  return `\n${checkOf(text)} ${text}\n`;
}

function decodeBlock(line: string): ExpiringRecord[] {
  const text = line.slice(DIGEST_CHARACTERS + 1);
  if (line.length <= DIGEST_CHARACTERS || line.slice(0, DIGEST_CHARACTERS) !== checkOf(text)) return [];
  const rows = parseJson(text);
  if (!Array.isArray(rows)) return [];
  return (rows as unknown[]).flatMap((row) => {
    const [expiresAtUnixMs, value] = Array.isArray(row) ? (row as unknown[]) : [];
    return typeof expiresAtUnixMs === 'number' ? [{ expiresAtUnixMs, value }] : [];
  });
}

function checkOf(text: string): string {
  return digest('block', text).slice(0, DIGEST_CHARACTERS);
}
