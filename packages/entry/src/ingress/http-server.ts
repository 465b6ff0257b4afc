/** Routes of the callers' and the operators' HTTP interface. */
import type { AddressInfo } from 'node:net';

import type { Metrics, Problem, Role } from '@fighub/core';
import { notRun, problemDocument } from '@fighub/core';
import restify from 'restify';

import type { TableApi } from '../operators/admin-api.js';
import { ADMIN_PAGE } from '../operators/admin-page.js';
import type { Gateway } from '../online/gateway.js';
import type { Authenticator, Request, Response, RouteHandler } from './http-kit.js';
import { sendJson, sendProblem } from './http-kit.js';
import type { JobApi } from '../batch/job-api.js';
import type { OrderApi } from '../operators/order-api.js';
import type { OrganisationApi } from '../operators/organisation-api.js';

/** Parts that the routes lead to. */
export interface HttpParts {
  readonly gateway: Gateway;
  readonly jobs: JobApi;
  readonly table: TableApi;
  readonly organisations: OrganisationApi;
  readonly orders: OrderApi;
  readonly auth: Authenticator;
  readonly metrics: Metrics;
  readonly dump: () => Record<string, unknown>;
  readonly models: () => string[];
  readonly onError: (error: unknown) => void;
}

const CALLERS: readonly Role[] = ['caller', 'operator', 'administrator'];
const OPERATORS: readonly Role[] = ['operator', 'administrator'];
const ADMINISTRATORS: readonly Role[] = ['administrator'];
const KEEP_ALIVE_MS = 30_000;

const PROBLEM_TYPE = 'application/problem+json';

/** An error that the library raises before any route runs. */
interface LibraryError extends Error {
  readonly statusCode: number;
  problem?: Problem;
}

const LIBRARY_PROBLEMS: Readonly<Record<number, Problem>> = {
  404: notRun('not_found', 'there is no such path'),
  405: notRun('method_not_allowed', 'the path does not have this method'),
};

/** The HTTP server of an entry instance. */
export class HttpServer {
  private readonly server = restify.createServer({
    name: 'fighub',
    handleUncaughtExceptions: false,
    formatters: {
      [PROBLEM_TYPE]: (_req: Request, _res: Response, body: LibraryError) =>
        JSON.stringify(problemDocument(body.problem ?? notRun('bad_request', body.message))),
    },
  });

  constructor(private readonly parts: HttpParts) {
    this.server.server.keepAliveTimeout = KEEP_ALIVE_MS;
    // Errors of the library itself get our document in place of its own.
    this.server.on('restifyError', (_req: Request, res: Response, error: LibraryError, done: () => void) => {
      error.problem = LIBRARY_PROBLEMS[error.statusCode] ?? notRun('bad_request', error.message);
      if (!res.headersSent) res.setHeader('Content-Type', PROBLEM_TYPE);
      done();
    });
    this.addRoutes();
  }

  /** Starts to listen and returns the port. */
  listen(host: string, port: number): Promise<number> {
    return new Promise((resolve, reject) => {
      this.server.server.once('error', reject);
      this.server.listen(port, host, () => resolve((this.server.server.address() as AddressInfo).port));
    });
  }

  /** Stops accepting connections and closes those that are left. */
  close(): void {
    this.server.server.close();
    this.server.server.closeAllConnections();
  }

  private addRoutes(): void {
    const { gateway, jobs, table } = this.parts;
    this.server.get('/healthz', (_req: Request, res: Response, next: () => void) => {
      sendJson(res, 200, { status: 'ok' });
      next();
    });
    this.server.get('/admin', (_req: Request, res: Response, next: () => void) => {
      res.writeHead(200, { 'Content-Type': 'text/html; charset=utf-8' });
      res.end(ADMIN_PAGE);
      next();
    });
    this.addOrganisationRoutes();
    const upstream = (req: Request): string => param(req, 'upstream');
    this.post('/admin/v1/upstreams/:upstream/orders', OPERATORS, (req, res, caller) =>
      this.parts.orders.issue(req, res, caller, upstream(req)),
    );
    this.get('/admin/v1/upstreams/:upstream/orders', OPERATORS, (req, res) =>
      this.parts.orders.last(res, upstream(req)),
    );
    this.post('/v1/completions', CALLERS, (req, res, caller) => gateway.complete(req, res, caller, false));
    this.post('/v1/chat/completions', CALLERS, (req, res, caller) =>
      gateway.complete(req, res, caller, true),
    );
    this.get('/v1/models', CALLERS, (_req, res) => {
      const data = this.parts.models().map((id) => ({ id, object: 'model' }));
      sendJson(res, 200, { object: 'list', data });
      return Promise.resolve();
    });
    this.post('/v1/services/:service/*', CALLERS, (req, res, caller) =>
      gateway.callService(req, res, caller, param(req, 'service'), param(req, '*')),
    );
    this.post('/v1/jobs', CALLERS, (req, res, caller) => jobs.create(req, res, caller));
    this.get('/v1/jobs/:job', CALLERS, (req, res, caller) => jobs.status(res, caller, param(req, 'job')));
    this.get('/v1/jobs/:job/results', CALLERS, (req, res, caller) =>
      jobs.results(req, res, caller, param(req, 'job')),
    );
    this.post('/v1/jobs/:job/cancel', CALLERS, (req, res, caller) =>
      jobs.cancel(res, caller, param(req, 'job')),
    );
    this.get('/admin/v1/jobs', OPERATORS, (_req, res) => jobs.listOpen(res));
    this.get('/admin/v1/dump', OPERATORS, (_req, res) => {
      sendJson(res, 200, this.parts.dump());
      return Promise.resolve();
    });
    this.get('/admin/v1/table', OPERATORS, (req, res) => Promise.resolve(table.list(req, res)));
    this.get('/admin/v1/table/revision', OPERATORS, (req, res) => table.revision(req, res));
    this.get('/admin/v1/table/history/*', OPERATORS, (req, res) => table.history(res, param(req, '*')));
    this.get('/admin/v1/table/rows/*', OPERATORS, (req, res) =>
      Promise.resolve(table.get(res, param(req, '*'))),
    );
    this.server.put(
      '/admin/v1/table/rows/*',
      this.route(OPERATORS, (req, res, caller) =>
        this.guardRow(req, res, caller.role, () => table.put(req, res, caller, param(req, '*'))),
      ),
    );
    this.server.del(
      '/admin/v1/table/rows/*',
      this.route(OPERATORS, (req, res, caller) =>
        this.guardRow(req, res, caller.role, () => table.delete(req, res, caller, param(req, '*'))),
      ),
    );
  }

  private addOrganisationRoutes(): void {
    const { organisations } = this.parts;
    const name = (req: Request): string => param(req, 'name');
    const path = '/admin/v1/organisations/:name';
    this.server.put(
      path,
      this.route(ADMINISTRATORS, (req, res, caller) => organisations.create(req, res, caller, name(req))),
    );
    this.server.del(
      path,
      this.route(ADMINISTRATORS, (req, res, caller) => organisations.retire(res, caller, name(req))),
    );
    this.post(`${path}/keys`, ADMINISTRATORS, (req, res, caller) =>
      organisations.addKey(res, caller, name(req)),
    );
    this.server.del(
      `${path}/keys/:hash`,
      this.route(ADMINISTRATORS, (req, res, caller) =>
        organisations.removeKey(res, caller, name(req), param(req, 'hash')),
      ),
    );
  }

  /** Organisations, their keys and roles are the administrator's. */
  private guardRow(req: Request, res: Response, role: Role, change: () => Promise<void>): Promise<void> {
    if (param(req, '*').startsWith('organisation/') && !ADMINISTRATORS.includes(role)) {
      sendProblem(res, notRun('forbidden', 'only an administrator changes organisations'));
      return Promise.resolve();
    }
    return change();
  }

  private get(path: string, roles: readonly Role[], handler: RouteHandler): void {
    this.server.get(path, this.route(roles, handler));
  }

  private post(path: string, roles: readonly Role[], handler: RouteHandler): void {
    this.server.post(path, this.route(roles, handler));
  }

  private route(roles: readonly Role[], handler: RouteHandler) {
    return (req: Request, res: Response, next: (error?: unknown) => void): void => {
      const caller = this.parts.auth.authenticate(req, roles);
      if (!caller.ok) {
        this.parts.metrics.count('requests_unauthorised');
        sendProblem(res, caller.error);
        next(false);
        return;
      }
      handler(req, res, caller.value)
        .catch((error: unknown) => {
          this.parts.onError(error);
          sendProblem(res, { ...notRun('internal', 'an internal error'), run: 'may_have_run' });
        })
        .finally(() => next());
    };
  }
}

function param(req: Request, name: string): string {
  const value = (req.params as Record<string, string | undefined>)[name] ?? '';
  return value.replace(/^\//, '');
}
