/** Analysis of log files, as used by the command-line tools of operators. */
export * from './occupancy.js';
export * from './trace.js';
