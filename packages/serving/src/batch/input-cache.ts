/** Cache of the items of batch jobs, which never change once their job is accepted. */
import type { JobInputPart, Outcome, StoredItem } from '@fighub/core';
import { batchJobKeys, fail, ok } from '@fighub/core';
import type { RecordStore, StoreError } from '@fighub/outside';
import { StoreErrorKind } from '@fighub/outside';

/** Number of jobs whose items are kept in memory; a job takes about 200 KB. */
const MAX_CACHED_JOBS = 80;

/** Reads the items of jobs from the store and caches those of the most recently added jobs. */
export class InputCache {
  private readonly jobs = new Map<string, readonly StoredItem[]>();

  constructor(private readonly store: RecordStore) {}

  /** Adds the items of a job, and evicts the job that was added first when the cache is full. */
  put(jobId: string, items: readonly StoredItem[]): void {
    this.jobs.delete(jobId);
    this.jobs.set(jobId, items);
    const oldest = this.jobs.keys().next();
    if (this.jobs.size > MAX_CACHED_JOBS && !oldest.done) this.jobs.delete(oldest.value);
  }

  /** The items of a job, or undefined when they are not cached. */
  cached(jobId: string): readonly StoredItem[] | undefined {
    return this.jobs.get(jobId);
  }

  /** The items of an accepted job, from the cache or else from the `partCount` input records in the store. */
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
      return fail({
        kind: StoreErrorKind.unavailable,
        detail: `the store lacks input records of job ${jobId}`,
      });
    }
    const items = JSON.parse(texts.join('')) as StoredItem[];
    this.put(jobId, items);
    return ok(items);
  }
}
