/** Pure policy: every decision of the system, without I/O and timers. */
export * from './burst-reserve.js';
export * from './chunk-choice.js';
export * from './chunk-ledger.js';
export * from './concurrency.js';
export * from './fair-queue.js';
export * from './limit-parts.js';
export * from './membership.js';
export * from './organisation-limits.js';
export * from './pool-choice.js';
export * from './pool-scheduler.js';
export * from './prefix-index.js';
export * from './quarantine.js';
export * from './rendezvous.js';
export * from './replica-choice.js';
export * from './replica-health.js';
export * from './retry-budget.js';
export * from './token-bucket.js';
