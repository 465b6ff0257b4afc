/** Messages, connections and membership between instances. */
export * from './frame.js';
export * from './membership-runner.js';
export * from './peer-connection.js';
export * from './peer-messages.js';
export * from './peer-node.js';
