import type { AddressInfo } from 'node:net';
import { createServer } from 'node:http';

import { afterEach, describe, expect, it } from 'vitest';

import { EtcdKeyValueService } from './etcd-key-value.js';
import { toBase64 } from './etcd-wire.js';

describe('EtcdKeyValueService', () => {
  const server = createServer();

  afterEach(() => {
    server.closeAllConnections();
    server.close();
  });

  it('ends a watch at a malformed message, after the events before it', async () => {
    const kv = { key: toBase64('k'), value: toBase64('v'), mod_revision: '7' };
    const message = JSON.stringify({ result: { events: [{ type: 'PUT', kv }] } });
    server.on('request', (_request, response) => {
      response.writeHead(200);
      response.write(`${message}\n{"result":\n${message}\n`);
    });
    await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve));
    const { port } = server.address() as AddressInfo;
    const service = new EtcdKeyValueService({
      address: `http://127.0.0.1:${String(port)}`,
      callTimeoutMs: 2_000,
    });
    const events: unknown[] = [];
    await new Promise<void>((resolve) =>
      service.watch('k', { onEvent: (event) => events.push(event), onEnd: resolve }),
    );
    expect(events).toEqual([{ key: 'k', value: 'v', revision: 7 }]);
  });
});
