import { createServer, request } from 'node:http';
import type { AddressInfo } from 'node:net';

import { notRun } from '@fighub/core';
import type { Response } from 'restify';
import { expect, it } from 'vitest';

import { sendProblem } from './http-helpers.js';

it('does not make a response complete that has begun', async () => {
  const server = createServer((_req, res) => {
    res.write('data: 1\n\n');
    setImmediate(() => sendProblem(res as unknown as Response, notRun('internal', 'internal error')));
  });
  await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve));
  const { port } = server.address() as AddressInfo;
  const isComplete = await new Promise<boolean>((resolve) => {
    const sent = request({ port, host: '127.0.0.1', agent: false }, (res) => {
      res.resume().on('error', () => undefined);
      res.on('close', () => resolve(res.complete));
    });
    sent.on('error', () => resolve(false));
    sent.end();
  });
  server.close();
  expect(isComplete).toBe(false);
});
