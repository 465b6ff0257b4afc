/** Admission of streams to replicas: owners schedule the slots of their pools and grant permits to holders. */
export * from './direct-dispatch.js';
export * from './permit-client.js';
export * from './slot.js';
export * from './pool-catalogue.js';
export * from './pool-host.js';
export * from './upstream-states.js';
