/** Fleets, experiments and reports. */
export * from './child-process.js';
export * from './fleet.js';
