import { createServer } from 'node:http';
import type { AddressInfo } from 'node:net';

import { afterEach, describe, expect, it } from 'vitest';

import { HttpPlainService } from './plain-service.js';

describe('HttpPlainService', () => {
  const server = createServer();

  afterEach(() => {
    server.closeAllConnections();
    server.close();
  });

  it('returns no status for a response that was reset together with its last bytes', async () => {
    server.on('request', (_req, res) => {
      res.removeHeader('Transfer-Encoding');
      res.write('first part', () => res.socket?.resetAndDestroy());
    });
    await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve));
    const { port } = server.address() as AddressInfo;
    const response = await new HttpPlainService().call({
      address: `http://127.0.0.1:${String(port)}`,
      path: 'echo',
      requestId: 'q1',
      contentType: 'text/plain',
      body: 'x',
      timeoutMs: 2_000,
    });
    expect(response.status).toBeUndefined();
    expect(response.sent).toBe(true);
  });
});
