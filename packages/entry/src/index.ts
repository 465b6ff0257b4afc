/** The entry instance: starts it in a process, and describes its settings and table keys. */
export * from './life-cycle/entry-instance.js';
export { keyHash } from './ingress/http-helpers.js';
export * from './settings.js';
export { BUCKET_COUNT, bucketKey, bucketOf } from './table/table-store.js';
