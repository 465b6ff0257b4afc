/** A client of the callers' and the operators' HTTP interface. */
export * from './api-client.js';
