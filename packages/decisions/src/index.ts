/**
 * Decision logic of all packages: deterministic policies and state machines that perform no I/O and set no
 * timers.
 */
export * from './batch-queue.js';
export * from './batch-run-estimates.js';
export * from './blocked-prompts.js';
export * from './burst-reserve.js';
export * from './chunk-choice.js';
export * from './chunk-ledger.js';
export * from './concurrency.js';
export * from './connect-timeout.js';
export * from './coordinators.js';
export * from './disconnected-holders.js';
export * from './discovery-schedule.js';
export * from './fair-queue.js';
export * from './item-continuation.js';
export * from './job-checkpoint.js';
export * from './job-progress.js';
export * from './job-quota.js';
export * from './leaving-replicas.js';
export * from './limit-parts.js';
export * from './load-drift.js';
export * from './member-ring.js';
export * from './membership.js';
export * from './ordered-map.js';
export * from './organisation-limits.js';
export * from './origin-history.js';
export * from './owner-suspicions.js';
export * from './pool-choice.js';
export * from './pool-slots.js';
export * from './pool-scheduler.js';
export * from './pool-types.js';
export * from './prefix-index.js';
export * from './prompt-crashes.js';
export * from './quarantine.js';
export * from './rendezvous.js';
export * from './replica-choice.js';
export * from './replica-directory.js';
export * from './replica-health.js';
export * from './retry-budget.js';
export * from './return-delay.js';
export * from './retry-policy.js';
export * from './stream-origins.js';
export * from './stream-stall.js';
export * from './suspect-queue.js';
export * from './token-bucket.js';
export * from './write-groups.js';
