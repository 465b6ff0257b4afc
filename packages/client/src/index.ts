/** HTTP client for the interfaces of callers and operators. */
export * from './api-client.js';
