import { request } from 'node:http';

import { Metrics, ok } from '@fighub/core';
import { afterEach, describe, expect, it } from 'vitest';

import { HttpServer } from './http-server.js';

type Dependencies = ConstructorParameters<typeof HttpServer>[0];

const ERROR = new Error('of the test');
let server: HttpServer | undefined;

afterEach(() => server?.close());

describe('an unexpected error of one request', () => {
  it.each([
    [
      'throws',
      () => {
        throw ERROR;
      },
    ],
    ['rejects', () => Promise.reject(ERROR)],
  ])('does not make a response complete that has begun, when its handler %s', async (_, fail) => {
    const errors: unknown[] = [];
    const dependencies = {
      metrics: new Metrics(),
      auth: { authenticate: () => ok({}) },
      gateway: {
        complete: (_: unknown, res: { writeHead(status: number): void; write(text: string): void }) => {
          res.writeHead(200);
          res.write('data: 1\n\n');
          return fail();
        },
      },
      onError: (error: unknown) => errors.push(error),
    };
    server = new HttpServer(dependencies as unknown as Dependencies);
    const port = await server.listen('127.0.0.1', 0);
    const complete = await new Promise<boolean>((resolve) => {
      const sent = request(
        { port, host: '127.0.0.1', method: 'POST', path: '/v1/completions', agent: false },
        (res) => {
          res.resume();
          res.on('close', () => resolve(res.complete));
          res.on('error', () => undefined);
        },
      );
      sent.on('error', () => resolve(false));
      sent.end();
    });
    expect(complete).toBe(false);
    expect(errors).toEqual([ERROR]);
  });
});
