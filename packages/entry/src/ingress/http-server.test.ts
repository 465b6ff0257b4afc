import { request } from 'node:http';

import { Metrics, ok } from '@fighub/core';
import { afterEach, describe, expect, it } from 'vitest';

import type { HttpServerDependencies } from './http-server.js';
import { HttpServer } from './http-server.js';

const HOST = '127.0.0.1';
const ERROR = new Error('of the test');
const LIMITS = { memoryMb: 350, maxFds: 4_096 };
const NO_LOG = { record: () => undefined };

let server: HttpServer;

afterEach(() => server.close());

describe('HttpServer', () => {
  it.each(['/v1/models', '/admin/v1/dump', '/v1/jobs/j1'])(
    'ends only the request when the handler of %s throws',
    async (path) => {
      const errors: unknown[] = [];
      const fail = (): never => {
        throw new Error('unexpected');
      };
      server = new HttpServer({
        limits: LIMITS,
        log: NO_LOG,
        auth: { authenticate: () => ok({ role: 'administrator' }) },
        metrics: new Metrics(),
        models: fail,
        dump: fail,
        jobs: { status: () => Promise.reject(new Error('unexpected')) },
        onError: (error: unknown, requestPath: string) => errors.push([String(error), requestPath]),
      } as unknown as HttpServerDependencies);
      const port = await server.listen({ host: HOST, port: 0 }, NO_LOG, 0);
      const response = await fetch(`http://${HOST}:${String(port)}${path}`);
      expect(response.status).toBe(500);
      expect(await response.json()).toMatchObject({ code: 'internal' });
      expect(errors).toEqual([['Error: unexpected', path]]);
    },
  );

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
      limits: LIMITS,
      log: NO_LOG,
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
    server = new HttpServer(dependencies as unknown as HttpServerDependencies);
    const port = await server.listen({ host: HOST, port: 0 }, NO_LOG, 0);
    const complete = await new Promise<boolean>((resolve) => {
      const sent = request(
        { port, host: HOST, method: 'POST', path: '/v1/completions', agent: false },
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
