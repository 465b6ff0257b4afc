/** The entry daemon. */
export * from './entry-instance.js';
export { keyHash } from './http-kit.js';
export * from './settings.js';
export { BUCKET_COUNT, bucketKey, bucketOf } from './table-store.js';
