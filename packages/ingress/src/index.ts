/** Bounds what callers take of a process while their requests arrive. */
export * from './input-pacer.js';
