/** Interfaces to the services of the hosting platform and to upstreams, and their adapters. */
export * from './call-budget.js';
export * from './circuit-breaker.js';
export * from './connection-pool.js';
export * from './connection-reset.js';
export * from './engine-orders.js';
export * from './engine.js';
export * from './etcd-key-value.js';
export * from './etcd-wire.js';
export * from './expiring-log.js';
export * from './http-engine.js';
export * from './instance-list.js';
export * from './json.js';
export * from './key-value-service.js';
export * from './memory-key-value.js';
export * from './not-sent.js';
export * from './plain-service.js';
export * from './record-store.js';
