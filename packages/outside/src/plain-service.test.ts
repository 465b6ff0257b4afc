import { createServer } from 'node:http';
import type { AddressInfo } from 'node:net';

import { afterEach, describe, expect, it } from 'vitest';

import type { ServiceResponse } from './plain-service.js';
import { HttpPlainService } from './plain-service.js';

describe('HttpPlainService', () => {
  const server = createServer();

  afterEach(() => {
    server.closeAllConnections();
    server.close();
    server.removeAllListeners('request');
  });

  async function call(): Promise<ServiceResponse> {
    await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve));
    const { port } = server.address() as AddressInfo;
    return new HttpPlainService().call({
      address: `http://127.0.0.1:${String(port)}`,
      path: 'echo',
      requestId: 'q1',
      contentType: 'text/plain',
      body: 'x',
      timeoutMs: 2_000,
    });
  }

  it('returns no status for a response that was reset together with its last bytes', async () => {
    server.on('request', (_req, res) => {
      res.removeHeader('Transfer-Encoding');
      res.write('first part', () => res.socket?.resetAndDestroy());
    });
    const response = await call();
    expect(response.status).toBeUndefined();
    expect(response.sent).toBe(true);
  });

  // Guards against a malformed status line of a service ending the process that passes it on.
  it('returns no status for a response whose status is none of a final response', async () => {
    server.on('request', (_req, res) => res.socket?.end('HTTP/1.1 000 OK\r\nContent-Length: 2\r\n\r\nok'));
    const response = await call();
    expect(response.status).toBeUndefined();
    expect(response.sent).toBe(true);
  });
});
