import { createServer } from 'node:http';
import type { AddressInfo } from 'node:net';

import { afterEach, describe, expect, it } from 'vitest';

import { ApiClient } from './api-client.js';

describe('ApiClient', () => {
  const server = createServer();

  afterEach(() => {
    server.closeAllConnections();
    server.close();
  });

  it('does not return a page of results that was reset after a whole line', async () => {
    server.on('request', (_req, res) => {
      res.removeHeader('Transfer-Encoding');
      res.setHeader('Fighub-Next-Cursor', '1.0');
      res.write('{"customId":"a"}\n', () => res.socket?.resetAndDestroy());
    });
    await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve));
    const { port } = server.address() as AddressInfo;
    const page = await new ApiClient(`http://127.0.0.1:${String(port)}`, 'key').results('j1', '0.0');
    expect(page).toMatchObject({ ok: false, error: { status: 0 } });
  });
});
