/** Binaries of operators, and what they find in logs. */
export * from './occupancy.js';
export * from './trace.js';
