/** Communication between instances: frames, connections, typed messages and the membership protocol. */
export * from './frame.js';
export * from './membership-runner.js';
export * from './peer-connection.js';
export * from './peer-messages.js';
export * from './peer-node.js';
