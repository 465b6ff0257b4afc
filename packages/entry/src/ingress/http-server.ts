/** HTTP server with the routes of callers and operators. */
import type { Server as HttpNodeServer } from 'node:http';
import type { AddressInfo } from 'node:net';

import type { HostPort, ListenerLog, Metrics, Problem, Role } from '@fighub/core';
import { Listener, notRun, problemDocument } from '@fighub/core';
import type { ProcessLimits } from '@fighub/decisions';
import { BufferBudget, connectionBudget, memoryShares } from '@fighub/decisions';
import { CONNECTION_CHECK_PERIOD_MS, ConnectionGuard, InputPacer, RequestBodies } from '@fighub/ingress';
import restify from 'restify';

import type { TableApi } from '../operators/table-api.js';
import { ADMIN_PAGE } from '../operators/admin-page.js';
import type { Gateway } from '../online/gateway.js';
import type { Authenticator, Request, Response, RouteHandler } from './http-helpers.js';
import { holdBody, sendJson, sendProblem } from './http-helpers.js';
import type { JobApi } from '../batch/job-api.js';
import type { OrderApi } from '../operators/order-api.js';
import type { OrganisationApi } from '../operators/organisation-api.js';

/** Collaborators to which the routes pass their requests. */
export interface HttpServerDependencies {
  /** What the process may take, which bounds connections and bodies. */
  readonly limits: ProcessLimits;
  readonly log: ListenerLog;
  readonly gateway: Gateway;
  readonly jobs: JobApi;
  readonly table: TableApi;
  readonly organisations: OrganisationApi;
  readonly orders: OrderApi;
  readonly auth: Authenticator;
  readonly metrics: Metrics;
  /** Returns the state of the instance for operators. */
  readonly dump: () => Record<string, unknown>;
  /** Returns the names of the models that callers can request. */
  readonly models: () => string[];
  /** Receives every unexpected error of a route handler, and the path of the request. */
  readonly onError: (error: unknown, path: string) => void;
}

/** Roles that may use the routes of callers. */
const CALLERS: readonly Role[] = ['caller', 'operator', 'administrator'];
/** Roles that may use the routes of operators. */
const OPERATORS: readonly Role[] = ['operator', 'administrator'];
/** Roles that may manage organisations and their keys. */
const ADMINISTRATORS: readonly Role[] = ['administrator'];
const KEEP_ALIVE_TIMEOUT_MS = 30_000;
const HEADERS_TIMEOUT_MS = 10_000;
/** Connections close within moments once callers are refused, so that callers may as well return. */
const NO_CONNECTIONS = notRun(
  'overloaded',
  'the connections of other callers are as many as this instance can take',
  1_000,
);

const PROBLEM_CONTENT_TYPE = 'application/problem+json';

/** An error that restify raises before any route handler runs, such as an unknown path. */
interface RestifyError extends Error {
  readonly statusCode: number;
  problem?: Problem;
}

/** Problems for errors of restify, by HTTP status. All other errors of restify become `bad_request`. */
const RESTIFY_PROBLEMS: Readonly<Record<number, Problem>> = {
  404: notRun('not_found', 'unknown path'),
  405: notRun('method_not_allowed', 'the path does not support this method'),
};

/** The HTTP server of an entry instance. */
export class HttpServer {
  private readonly server = restify.createServer({
    name: 'fighub',
    handleUncaughtExceptions: false,
    formatters: {
      [PROBLEM_CONTENT_TYPE]: (_req: Request, _res: Response, body: RestifyError) =>
        JSON.stringify(problemDocument(body.problem ?? notRun('bad_request', body.message))),
    },
  });

  private readonly httpServer = this.server.server as HttpNodeServer;
  private readonly connections: ConnectionGuard;
  private readonly bodies: RequestBodies;
  private listener: Listener | undefined;

  constructor(private readonly dependencies: HttpServerDependencies) {
    const { limits, log } = dependencies;
    this.httpServer.keepAliveTimeout = KEEP_ALIVE_TIMEOUT_MS;
    this.httpServer.headersTimeout = HEADERS_TIMEOUT_MS;
    // Restify takes no options for the server of Node.js, which reads this one when it begins to listen.
    Object.assign(this.httpServer, { connectionsCheckingInterval: CONNECTION_CHECK_PERIOD_MS });
    this.connections = new ConnectionGuard(
      this.httpServer,
      connectionBudget(limits),
      'HTTP server',
      new InputPacer(),
      log,
    );
    this.bodies = new RequestBodies(new BufferBudget(memoryShares(limits.memoryMb).requestBodyBytes));
    // Errors of restify are sent as problem documents instead of in its own format.
    this.server.on('restifyError', (_req: Request, res: Response, error: RestifyError, done: () => void) => {
      error.problem = RESTIFY_PROBLEMS[error.statusCode] ?? notRun('bad_request', error.message);
      if (!res.headersSent) res.setHeader('Content-Type', PROBLEM_CONTENT_TYPE);
      done();
    });
    this.addRoutes();
  }

  /**
   * Starts to listen and returns the port, which the system chooses if `address.port` is 0. While another process holds the address, tries
   * again until the monotonic time `untilMs`. Rejects if it cannot listen.
   */
  async listen(address: HostPort, log: ListenerLog, untilMs: number): Promise<number> {
    this.listener = new Listener(this.httpServer, address, 'HTTP server', log);
    await this.listener.bind(untilMs);
    return (this.server.server.address() as AddressInfo | null)?.port ?? 0;
  }

  /** Stops accepting connections and closes the open ones at once. */
  close(): void {
    this.listener?.close();
    this.server.server.closeAllConnections();
  }

  private addRoutes(): void {
    const { gateway, jobs, table } = this.dependencies;
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
      this.dependencies.orders.issue(req, res, caller, upstream(req)),
    );
    this.get('/admin/v1/upstreams/:upstream/orders', OPERATORS, (req, res) =>
      this.dependencies.orders.last(res, upstream(req)),
    );
    this.post('/v1/completions', CALLERS, (req, res, caller) => gateway.complete(req, res, caller, false));
    this.post('/v1/chat/completions', CALLERS, (req, res, caller) =>
      gateway.complete(req, res, caller, true),
    );
    this.get('/v1/models', CALLERS, (_req, res) => {
      const data = this.dependencies.models().map((id) => ({ id, object: 'model' }));
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
    this.post(
      '/v1/jobs/:job/cancel',
      CALLERS,
      withoutBody((req, res, caller) => jobs.cancel(res, caller, param(req, 'job'))),
    );
    this.get('/admin/v1/jobs', OPERATORS, (_req, res) => jobs.listOpen(res));
    this.get('/admin/v1/dump', OPERATORS, (_req, res) => {
      sendJson(res, 200, this.dependencies.dump());
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
      this.route(
        OPERATORS,
        withoutBody((req, res, caller) =>
          this.guardRow(req, res, caller.role, () => table.delete(req, res, caller, param(req, '*'))),
        ),
      ),
    );
  }

  private addOrganisationRoutes(): void {
    const { organisations } = this.dependencies;
    const name = (req: Request): string => param(req, 'name');
    const path = '/admin/v1/organisations/:name';
    this.server.put(
      path,
      this.route(ADMINISTRATORS, (req, res, caller) => organisations.create(req, res, caller, name(req))),
    );
    this.server.del(
      path,
      this.route(
        ADMINISTRATORS,
        withoutBody((req, res, caller) => organisations.retire(res, caller, name(req))),
      ),
    );
    this.post(
      `${path}/keys`,
      ADMINISTRATORS,
      withoutBody((req, res, caller) => organisations.addKey(res, caller, name(req))),
    );
    this.server.del(
      `${path}/keys/:hash`,
      this.route(
        ADMINISTRATORS,
        withoutBody((req, res, caller) =>
          organisations.removeKey(res, caller, name(req), param(req, 'hash')),
        ),
      ),
    );
  }

  /** Refuses changes to rows of organisations from operators: keys and roles are reserved to administrators. */
  private guardRow(req: Request, res: Response, role: Role, change: () => Promise<void>): Promise<void> {
    if (param(req, '*').startsWith('organisation/') && !ADMINISTRATORS.includes(role)) {
      sendProblem(res, notRun('forbidden', 'only an administrator may change organisations'));
      return Promise.resolve();
    }
    return change();
  }

  private get(path: string, roles: readonly Role[], handler: RouteHandler): void {
    this.server.get(path, this.route(roles, withoutBody(handler)));
  }

  private post(path: string, roles: readonly Role[], handler: RouteHandler): void {
    this.server.post(path, this.route(roles, handler));
  }

  /**
   * Wraps a handler: refuses callers without one of `roles`, and responds to an unexpected error with a problem which
   * says that the request may have run.
   */
  private route(roles: readonly Role[], handler: RouteHandler) {
    return (req: Request, res: Response, next: (error?: unknown) => void): void => {
      if (!this.connections.mayServe(req.socket)) {
        res.setHeader('Connection', 'close');
        sendProblem(res, NO_CONNECTIONS);
        next(false);
        return;
      }
      const caller = this.dependencies.auth.authenticate(req, roles);
      if (!caller.ok) {
        this.dependencies.metrics.count('requests_unauthorised');
        sendProblem(res, caller.error);
        next(false);
        return;
      }
      holdBody(req, res, this.bodies.open());
      // A request that is not whole may lose its connection to another one.
      req.once('end', () => this.connections.keepUntilAnswered(req.socket, res));
      // A handler may throw before it returns a promise.
      new Promise<void>((resolve) => resolve(handler(req, res, caller.value)))
        .catch((error: unknown) => {
          this.dependencies.onError(error, req.path());
          sendProblem(res, { ...notRun('internal', 'internal error'), run: 'may_have_run' });
        })
        .finally(() => next());
    };
  }
}

/** A handler that does not read the body. What arrives of it is discarded, so that the stream of the request keeps none. */
function withoutBody(handler: RouteHandler): RouteHandler {
  return (req, res, caller) => {
    req.on('data', () => undefined);
    return handler(req, res, caller);
  };
}

function param(req: Request, name: string): string {
  const value = (req.params as Record<string, string | undefined>)[name] ?? '';
  return value.replace(/^\//, '');
}
