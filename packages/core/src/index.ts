/** Domain types and utilities that all packages share. They do no network or file I/O. */
export * from './address.js';
export * from './batch-jobs.js';
export * from './clock.js';
export * from './container.js';
export * from './decision-log.js';
export * from './entity-table.js';
export * from './ids.js';
export * from './invariant.js';
export * from './jobs.js';
export * from './life-cycle.js';
export * from './metrics.js';
export * from './outcome.js';
export * from './problem.js';
export * from './routing.js';
export * from './settings.js';
export * from './table-rows.js';
export * from './tick.js';
