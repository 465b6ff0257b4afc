/**
 * Public interface of the package: the entry instance, its settings, the hash of bearer keys, and the keys under which
 * the table is stored.
 */
export * from './life-cycle/entry-instance.js';
export * from './settings.js';
export { BUCKET_COUNT, bucketKey, bucketOf } from './table/table-store.js';
