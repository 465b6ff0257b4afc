/** Tokens of the dependency injection container. */

export const Tokens = {
  settings: Symbol.for('settings'),
  clock: Symbol.for('clock'),
  metrics: Symbol.for('metrics'),
  logger: Symbol.for('logger'),
  self: Symbol.for('self'),
  keyValueService: Symbol.for('keyValueService'),
  store: Symbol.for('store'),
  instanceList: Symbol.for('instanceList'),
  engine: Symbol.for('engine'),
  plainService: Symbol.for('plainService'),
  peerNode: Symbol.for('peerNode'),
  crash: Symbol.for('crash'),
} as const;

/** Stops the process because of an error that must not be survived. */
export type Crash = (error: unknown) => void;
