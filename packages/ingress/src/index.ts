/** Bounds what callers take of a process while their requests arrive. */
export * from './body-lines.js';
export * from './connection-guard.js';
export * from './input-pacer.js';
export * from './request-bodies.js';
export * from './request-body.js';
