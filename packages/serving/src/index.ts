/** Forwards opaque requests and runs batch jobs on replicas, on any platform that implements the adapters. */
export * from './access/organisation-usage.js';
export * from './batch/job-acceptance.js';
export * from './batch/job-intake.js';
export * from './batch/job-reader.js';
export * from './online/forward-runner.js';
export * from './online/forwarding.js';
export * from './online/request-check.js';
export * from './online/response-head.js';
export * from './routing/fleet-source.js';
export * from './routing/fleet-view.js';
export * from './routing/replica-check.js';
export * from './routing/route-table.js';
export type { ServingAdapters } from './serving-container.js';
export * from './serving-instance.js';
export * from './settings.js';
