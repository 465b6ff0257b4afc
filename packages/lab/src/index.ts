/** Local fleets of real processes for experiments and tests. */
export * from './child-process.js';
export * from './fleet.js';
export * from './random.js';
export * from './caller-crowd.js';
export * from './process-usage.js';
