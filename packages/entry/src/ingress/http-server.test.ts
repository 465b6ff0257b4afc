import { Metrics, ok } from '@fighub/core';
import { afterEach, describe, expect, it } from 'vitest';

import type { HttpServerDependencies } from './http-server.js';
import { HttpServer } from './http-server.js';

const HOST = '127.0.0.1';
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
});
