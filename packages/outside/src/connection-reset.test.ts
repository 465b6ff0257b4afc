import type { AddressInfo } from 'node:net';
import { createServer } from 'node:net';

import { afterEach, describe, expect, it } from 'vitest';

import { ResetReportingAgent } from './connection-reset.js';

describe('ResetReportingAgent', () => {
  const server = createServer((socket) => {
    socket.write('last bytes', () => socket.resetAndDestroy());
  });

  afterEach(() => {
    server.close();
  });

  it('does not stop the process when a connection is reset that no request uses any more', async () => {
    await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve));
    const { port } = server.address() as AddressInfo;
    const socket = new ResetReportingAgent().createConnection({ host: '127.0.0.1', port });
    socket?.resume();
    const hadError = await new Promise((resolve) => socket?.once('close', resolve));
    expect(hadError).toBe(true);
  });
});
