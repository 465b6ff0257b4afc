/** Items of jobs, read once from the store and kept for a while. */
import type { JobInputPart, Outcome, StoredItem } from '@fighub/core';
import { batchJobKeys, fail, ok } from '@fighub/core';
import type { RecordStore, StoreError } from '@fighub/outside';
import { StoreErrorKind } from '@fighub/outside';

/** Jobs whose items are kept in memory; at about 200 KB a job. */
const MAX_CACHED_JOBS = 40;

/** Reads and keeps the items of jobs. */
export class InputCache {
  private readonly jobs = new Map<string, readonly StoredItem[]>();

  constructor(private readonly store: RecordStore) {}

  put(jobId: string, items: readonly StoredItem[]): void {
    this.jobs.delete(jobId);
    this.jobs.set(jobId, items);
    const oldest = this.jobs.keys().next();
    if (this.jobs.size > MAX_CACHED_JOBS && !oldest.done) this.jobs.delete(oldest.value);
  }

  /** The items of a job if they are in memory. */
  cached(jobId: string): readonly StoredItem[] | undefined {
    return this.jobs.get(jobId);
  }

  /** The items of an accepted job. */
  async read(jobId: string, partCount: number): Promise<Outcome<readonly StoredItem[], StoreError>> {
    const cachedItems = this.jobs.get(jobId);
    if (cachedItems) return ok(cachedItems);
    const parts = await Promise.all(
      Array.from({ length: partCount }, (_, part) =>
        this.store.read<JobInputPart>(batchJobKeys.input(jobId, part)),
      ),
    );
    const failed = parts.find((part) => !part.ok);
    if (failed && !failed.ok) return failed;
    const texts = parts.flatMap((part) => (part.ok && part.value ? [part.value.value.text] : []));
    if (texts.length !== partCount) {
      return fail({ kind: StoreErrorKind.unavailable, detail: `items of job ${jobId} are missing` });
    }
    const items = JSON.parse(texts.join('')) as StoredItem[];
    this.put(jobId, items);
    return ok(items);
  }
}
