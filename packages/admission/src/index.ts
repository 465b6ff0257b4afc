/** Admission of streams to replicas: owners of pools, and holders of permits. */
export * from './direct-dispatch.js';
export * from './permit-client.js';
export * from './place.js';
export * from './pool-catalogue.js';
export * from './pool-host.js';
export * from './upstream-states.js';
