/** Cache of the items of batch jobs, which never change once their job is accepted. */
import type { JobInputPart, Outcome, StoredItem } from '@fighub/core';
import { batchJobKeys, fail, ok } from '@fighub/core';
import type { RecordStore, StoreError } from '@fighub/outside';
import { StoreErrorKind } from '@fighub/outside';

/** Number of jobs whose items are kept in memory. */
const MAX_CACHED_JOBS = 80;
const DEFAULT_MAX_BYTES = 16 * 1_048_576;

/** Size of the items of a job in memory, in bytes, without what the language adds to each. */
function sizeOf(items: readonly StoredItem[]): number {
  return items.reduce(
    (sum, { itemId, target, headers, bodyBase64 }) =>
      sum + itemId.length + target.length + bodyBase64.length + headers.flat().join('').length,
    0,
  );
}

/** Reads the items of jobs from the store and caches those of the most recently added jobs. */
export class InputCache {
  private readonly jobs = new Map<
    string,
    { readonly items: readonly StoredItem[]; readonly bytes: number }
  >();
  private bytes = 0;

  /** `maxBytes` is what the items of all cached jobs may take together. */
  constructor(
    private readonly store: RecordStore,
    private readonly maxBytes = DEFAULT_MAX_BYTES,
  ) {}

  /** Adds the items of a job, and evicts those that were added first while the cache holds too many jobs or bytes. */
  put(jobId: string, items: readonly StoredItem[]): void {
    this.delete(jobId);
    const bytes = sizeOf(items);
    this.jobs.set(jobId, { items, bytes });
    this.bytes += bytes;
    while (this.jobs.size > MAX_CACHED_JOBS || this.bytes > this.maxBytes) {
      const oldest = this.jobs.keys().next();
      if (oldest.done) return;
      this.delete(oldest.value);
    }
  }

  /** The items of a job, or undefined when they are not cached. */
  cached(jobId: string): readonly StoredItem[] | undefined {
    return this.jobs.get(jobId)?.items;
  }

  private delete(jobId: string): void {
    this.bytes -= this.jobs.get(jobId)?.bytes ?? 0;
    this.jobs.delete(jobId);
  }

  /** The items of an accepted job, from the cache or else from the `partCount` input records in the store. */
  async read(jobId: string, partCount: number): Promise<Outcome<readonly StoredItem[], StoreError>> {
    const cachedItems = this.cached(jobId);
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
