/** Stand-ins: local substitutes for outside services, and the fault-injecting proxy. */
export * from './engine-standin.js';
export * from './fault-proxy.js';
export * from './http-util.js';
export * from './instances-standin.js';
export * from './kv-standin.js';
export * from './platform-store-standin.js';
export * from './replica-standin.js';
export * from './service-standin.js';
