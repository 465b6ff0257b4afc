/**
 * A small deployment on loopback addresses: the programs of the deploy file as separate processes, and stand-ins of the platform's
 * store, of replicas and of the platform that starts processes again. The stand-ins follow PROTOCOL.md and DEPLOY.md.
 */
import { Buffer } from 'node:buffer';
import { spawn } from 'node:child_process';
import { createHash } from 'node:crypto';
import { mkdtempSync, readFileSync, rmSync, writeFileSync } from 'node:fs';
import { createServer, request } from 'node:http';
import { createServer as createTcpServer } from 'node:net';
import { tmpdir } from 'node:os';
import { dirname, join } from 'node:path';
import { performance } from 'node:perf_hooks';
import process from 'node:process';
import { clearTimeout, setInterval, setTimeout } from 'node:timers';
import { URL, fileURLToPath } from 'node:url';

const REPOSITORY = join(dirname(fileURLToPath(import.meta.url)), '../..');
/** Second octet pair of the addresses of this run, so that runs side by side do not meet. */
const NET = `127.${String(20 + (process.pid % 100))}.${String((process.pid >> 7) % 250)}`;

export const HOST = 'school.example';
export const SERVICE = 'alert-modely';
/** Bounds of the small sites, from their sheets. */
export const BOUNDS = { contactMs: 3_000, configApplyMs: 2_000, finishS: 18, settleMs: 1_000, graceS: 8 };
export const ZONES = ['zvolen-hala', 'bystrica-hala', 'lucenec-hala'];

export const sleep = (ms) => new Promise((resolve) => setTimeout(resolve, ms));
const startedAtMs = performance.now();
/** Time since the start of the script, in milliseconds. */
export const now = () => performance.now() - startedAtMs;

/** Collects the lines of record.txt. */
export class Record {
  constructor(folder) {
    this.path = join(folder, 'record.txt');
    this.lines = [];
  }

  add(text) {
    this.lines.push(`${(now() / 1_000).toFixed(3).padStart(8)} ${text}`);
  }

  write() {
    writeFileSync(this.path, `${this.lines.join('\n')}\n`);
  }
}

/** The platform's metadata store. */
export class Store {
  /** Items by key, each with its text in answers. */
  items = new Map();
  /** All keys in order. */
  keys = [];
  history = [];
  revision = 1;
  leases = new Map();
  nextLease = 1;
  waiting = new Set();
  /** Addresses of machines that the store turns away with 503, as PROTOCOL.md says that it may. */
  refused = new Set();
  /** Address of the machine that read the list of replicas last. */
  lastReader = '';

  constructor() {
    this.server = createServer((req, res) => void this.handle(req, res));
    this.server.keepAliveTimeout = 60_000;
  }

  async start() {
    this.address = await listen(this.server, `${NET}.1`);
  }

  /** Writes as the operator or a replica does. Returns the revision, which is the acknowledgement. */
  put(key, value) {
    this.apply([{ key, value: Buffer.from(JSON.stringify(value)).toString('base64'), lease: 0 }], []);
    return this.revision;
  }

  remove(key) {
    this.apply([], [key]);
  }

  get(key) {
    const item = this.items.get(key);
    return item && JSON.parse(Buffer.from(item.value, 'base64').toString('utf8'));
  }

  refuse(address) {
    this.refused.add(address);
    // Watches that wait there are cut.
    [...this.waiting].filter((wait) => wait.address === address).forEach((wait) => wait.finish());
  }

  apply(setKeys, deleteKeys) {
    this.revision += 1;
    for (const { key, value, lease = 0 } of setKeys) {
      const before = this.items.get(key);
      if (!before) this.keys.splice(this.indexOf(key), 0, key);
      const createdAt = before?.createdAt ?? this.revision;
      const item = { key, value, revision: this.revision, createdAt, lease: Number(lease) };
      this.items.set(key, { ...item, text: JSON.stringify(item) });
      this.history.push(item);
    }
    for (const key of deleteKeys) {
      if (!this.items.delete(key)) continue;
      this.keys.splice(this.indexOf(key), 1);
      this.history.push({ key, revision: this.revision, deleted: true });
    }
    if (this.history.length > 20_000) this.history.splice(0, 10_000);
    [...this.waiting].forEach((wait) => wait.check());
  }

  async handle(req, res) {
    const url = new URL(req.url, 'http://store');
    const parts = [];
    for await (const part of req) parts.push(part);
    const text = Buffer.concat(parts).toString('utf8');
    if (this.refused.has(req.socket.remoteAddress)) return json(res, 503, {});
    const body = text === '' ? {} : JSON.parse(text);
    const query = url.searchParams;
    const call = url.pathname.replace('/api/', '');
    if (call === 'kv-key') {
      const item = this.items.get(query.get('key'));
      return item ? json(res, 200, { ...item, text: undefined, at: this.revision }) : json(res, 404, {});
    }
    if (call === 'kv-range') {
      if (query.get('prefix') === 'servers/') this.lastReader = req.socket.remoteAddress;
      return this.range(res, query);
    }
    if (call === 'kv-watch') return this.watch(req, res, query);
    if (call === 'kv-txn') return this.transact(res, body);
    if (call === 'kv-lease') {
      const lease = this.nextLease++;
      this.renew(lease, body.ttlMs);
      return json(res, 200, { lease, ttlMs: body.ttlMs });
    }
    if (call.startsWith('kv-keep/')) {
      const lease = this.leases.get(Number(call.slice(8)));
      if (!lease) return json(res, 404, {});
      this.renew(Number(call.slice(8)), lease.ttlMs);
      return json(res, 200, { ttlMs: lease.ttlMs });
    }
    if (call.startsWith('kv-lease-end/')) {
      this.endLease(Number(call.slice(13)));
      return json(res, 200, {});
    }
    return json(res, 404, {});
  }

  range(res, query) {
    const prefix = query.get('prefix') ?? '';
    const after = query.get('after') ?? '';
    let at = this.indexOf(after > prefix ? after : prefix);
    if (this.keys[at] === after) at += 1;
    const texts = [];
    let bytes = 0;
    for (; at < this.keys.length && this.keys[at].startsWith(prefix); at += 1) {
      const { text } = this.items.get(this.keys[at]);
      bytes += text.length;
      if (texts.length >= 500 || (texts.length > 0 && bytes > 1_000_000)) break;
      texts.push(text);
    }
    const hasMore = at < this.keys.length && this.keys[at].startsWith(prefix);
    const body = `{"items":[${texts.join(',')}],"hasMore":${String(hasMore)},"at":${String(this.revision)}}`;
    res.writeHead(200, { 'Content-Type': 'application/json', 'Content-Length': Buffer.byteLength(body) });
    res.end(body);
  }

  /** Index of the first key that is not before `key`. */
  indexOf(key) {
    let low = 0;
    let high = this.keys.length;
    while (low < high) {
      const middle = (low + high) >> 1;
      if (this.keys[middle] < key) low = middle + 1;
      else high = middle;
    }
    return low;
  }

  watch(req, res, query) {
    const prefix = query.get('prefix') ?? '';
    const after = Number(query.get('after'));
    if ((this.history[0]?.revision ?? 0) > after + 1 && this.history.length >= 10_000)
      return json(res, 410, {});
    const address = req.socket.remoteAddress;
    const found = () =>
      this.history.filter((entry) => entry.revision > after && entry.key.startsWith(prefix));
    const answer = () => {
      if (this.refused.has(address)) json(res, 503, {});
      else json(res, 200, { events: found(), at: this.revision });
    };
    if (found().length > 0) return answer();
    const wait = { address };
    wait.finish = () => {
      clearTimeout(timer);
      if (this.waiting.delete(wait)) answer();
    };
    wait.check = () => {
      const last = this.history[this.history.length - 1];
      const isNew = last && last.revision > after && found().length > 0;
      if (isNew) wait.finish();
    };
    const timer = setTimeout(wait.finish, Number(query.get('waitMs')));
    this.waiting.add(wait);
    res.once('close', () => {
      clearTimeout(timer);
      this.waiting.delete(wait);
    });
    return undefined;
  }

  transact(res, { expected = [], setKeys = [], deleteKeys = [] }) {
    if (setKeys.some(({ value }) => value.length * 0.75 > 1_048_576)) return json(res, 413, {});
    if (expected.length + setKeys.length + deleteKeys.length > 32) return json(res, 400, {});
    const holds = ({ key, revision }) => (this.items.get(key)?.revision ?? 0) === revision;
    if (!expected.every(holds)) {
      const items = expected.map(({ key }) => ({
        ...(this.items.get(key) ?? { key, value: '', revision: 0, createdAt: 0, lease: 0 }),
        text: undefined,
      }));
      return json(res, 412, { items });
    }
    if (setKeys.some(({ lease }) => Number(lease ?? 0) !== 0 && !this.leases.has(Number(lease))))
      return json(res, 404, {});
    this.apply(setKeys, deleteKeys);
    return json(res, 200, { revision: this.revision });
  }

  renew(lease, ttlMs) {
    clearTimeout(this.leases.get(lease)?.timer);
    const timer = setTimeout(() => this.endLease(lease), ttlMs);
    timer.unref();
    this.leases.set(lease, { ttlMs, timer });
  }

  endLease(lease) {
    clearTimeout(this.leases.get(lease)?.timer);
    this.leases.delete(lease);
    const keys = [...this.items.values()].filter((item) => item.lease === lease).map(({ key }) => key);
    if (keys.length > 0) this.apply([], keys);
  }
}

/** Text of event `index` of a request; the same at every replica. */
export function eventText(requestId, index) {
  return `${requestId}-${String(index)}-${createHash('sha256')
    .update(`${requestId}/${String(index)}`)
    .digest('hex')
    .slice(0, 8)}`;
}

/** A replica that answers each request with `events` events, one every `eventMs`. */
export class Replica {
  running = 0;
  /** What reached the replica: { requestId, atMs, resumeAfter, endedAtMs, whole, body }. */
  runs = [];
  /** Time to the first event. */
  firstEventMs = 0;
  /** Text of an event. */
  text = eventText;
  /** Called with (req, res, run) before the usual answer; returns true if it has answered. */
  behaviour = () => false;

  constructor(id, record, { events = 20, eventMs = 25, slots = 8 } = {}) {
    Object.assign(this, { id, record, events, eventMs, slots });
    this.server = createServer((req, res) => void this.handle(req, res));
  }

  async start() {
    this.address = await listen(this.server, `${NET}.2`);
  }

  async handle(req, res) {
    const parts = [];
    for await (const part of req) parts.push(part);
    const requestId = String(req.headers['attempt-id']);
    const load = { 'Server-Load': `${String(this.running)},0,${String(this.slots)}` };
    if (req.headers['expect-instance'] !== this.id) {
      res.writeHead(421, { 'Instance-Id': this.id, 'Attempt-Id': requestId });
      return res.end();
    }
    if (this.running >= this.slots + 24) {
      res.writeHead(503, { 'Not-Executed': '1', 'Attempt-Id': requestId, ...load });
      return res.end();
    }
    // The caller has gone already.
    if (req.socket.destroyed) return undefined;
    const resumeAfter = Number(req.headers['last-event-id'] ?? 0);
    const body = Buffer.concat(parts);
    const run = { replica: this.id, requestId, path: req.url, resumeAfter, atMs: now(), whole: false, body };
    this.runs.push(run);
    this.record.add(`run      ${requestId} at ${this.id} after event ${String(resumeAfter)}`);
    this.running += 1;
    let open = true;
    res.once('close', () => {
      open = false;
      run.endedAtMs = now();
      this.running -= 1;
    });
    if (this.firstEventMs > 0) await sleep(this.firstEventMs);
    if (!open || this.behaviour(req, res, run)) return undefined;
    res.writeHead(200, {
      'Attempt-Id': requestId,
      'Response-Seal': `seal-${requestId}`,
      'Content-Type': 'text/event-stream',
      'Server-Load': `${String(this.running)},0,${String(this.slots)}`,
    });
    for (let index = resumeAfter + 1; index <= this.events && open; index += 1) {
      res.write(`id: ${String(index)}\ndata: ${this.text(requestId, index)}\n\n`);
      await sleep(this.eventMs);
    }
    if (!open) return undefined;
    run.whole = true;
    return res.end();
  }
}

/** Starts the processes of a deployment and starts those again that end, after a short delay, as the platform does. */
export class Fleet {
  folder = mkdtempSync(join(tmpdir(), 'fighub-review-'));
  nodes = [];
  replicas = [];
  version = 0;
  stopping = false;

  constructor(record, options = {}) {
    this.record = record;
    this.options = { entriesPerZone: 1, replicas: 6, maxBodyBytes: 4_194_304, ...options };
    this.store = new Store();
    process.once('exit', () => this.killAll());
    for (const signal of ['SIGINT', 'SIGTERM']) process.once(signal, () => process.exit(2));
  }

  async start() {
    await this.store.start();
    for (let index = 0; index < this.options.replicas; index += 1) {
      const replica = new Replica(`i-${String(index)}`, this.record, this.options.replica);
      await replica.start();
      this.replicas.push(replica);
      this.register(replica, ZONES[index % ZONES.length]);
    }
    const beat = setInterval(() => this.replicas.forEach((replica) => this.register(replica)), 1_200);
    beat.unref();
    this.configure();
    const roles = rolesOfDeployFile();
    const names = ZONES.flatMap((zone) => [
      { name: `store-${zone}-1`, zone, role: roles.coordinator, isStore: true },
      ...Array.from({ length: this.options.entriesPerZone }, (_, index) => ({
        name: `front-${zone}-${String(index + 1)}`,
        zone,
        role: roles.entry,
        isStore: false,
      })),
    ]);
    const ports = await freePorts(4);
    this.nodes = names.map((node, index) => ({
      ...node,
      ip: `${NET}.${String(10 + index)}`,
      ports,
      exits: [],
    }));
    this.seeds = this.nodes.filter(({ isStore }) => isStore).map(({ ip }) => `${ip}:${String(ports[0])}`);
    this.nodes.forEach((node) => this.startNode(node));
    await this.until(
      async () => (await Promise.all(this.fronts.map((node) => this.isReady(node)))).every(Boolean),
      30_000,
    );
    await sleep(3_500);
  }

  get fronts() {
    return this.nodes.filter(({ isStore }) => !isStore);
  }

  get coordinators() {
    return this.nodes.filter(({ isStore }) => isStore);
  }

  register(replica, zone = replica.zone) {
    replica.zone = zone;
    replica.sequence = (replica.sequence ?? 0) + 1;
    this.store.put(`servers/${replica.id}`, {
      service: SERVICE,
      address: replica.address,
      zone,
      version: 'v1',
      capacity: replica.slots,
      state: 'ready',
      coldLeftMs: 0,
      sequence: replica.sequence,
    });
  }

  /** Writes the next version of the desired state, with `routes` beside the usual ones. */
  configure(routes = []) {
    this.version += 3;
    const common = { hostname: HOST, service: SERVICE, sticky: true, goalMs: 300, gapTargetMs: 250 };
    const batch = {
      kind: 'batch',
      timeoutMs: 15_000,
      maxAttempts: 3,
      priority: 2,
      goalMs: 400,
      resumable: true,
    };
    this.store.put('op/config', {
      version: this.version,
      routes: [
        {
          ...common,
          name: 'obed',
          prefix: '/obed/',
          kind: 'streaming',
          timeoutMs: 5_000,
          maxAttempts: 1,
          priority: 0,
        },
        {
          ...common,
          ...batch,
          name: 'okres',
          prefix: '/okres/',
          dueMs: 18_000,
          maxWaitS: 60,
          cap: 2_300_000,
        },
        ...routes.map((route) => ({
          ...common,
          ...batch,
          dueMs: 18_000,
          maxWaitS: 60,
          cap: 2_300_000,
          ...route,
        })),
      ],
      services: [
        { name: SERVICE, healthPath: '/health', maxConns: 370, engine: { capacity: 8, kvCapacity: 110_810 } },
      ],
      limits: {
        maxHeaderBytes: 16_384,
        maxBodyBytes: this.options.maxBodyBytes,
        headerTimeoutMs: 3_000,
        idleTimeoutMs: 15_000,
      },
    });
    this.record.add(`operator version ${String(this.version)} acknowledged`);
  }

  /** Starts a process with the command of the deploy file and the settings that the platform fills in. */
  startNode(node) {
    if (this.stopping) return;
    const file = join(this.folder, `${node.name}.jsonc`);
    const [control, frontend, ready] = node.ports.map((port) => `${node.ip}:${String(port)}`);
    const fields = {
      nodeName: node.name,
      zone: node.zone,
      ip: node.ip,
      listen: { control, ...(node.isStore ? {} : { frontend, readyAddr: ready }) },
      limits: { memoryMb: node.isStore ? 390 : 350 },
      seeds: this.seeds,
      bounds: this.options.bounds ?? { quotaOverage: 0.1 },
      ...(node.isStore ? { dataDir: join(this.folder, `disk-${node.name}`) } : {}),
      platform: {
        address: this.store.address,
        writesPerS: 400,
        readsPerS: 2_000,
        valueBytes: 1_048_576,
        ttlMinMs: 1_000,
      },
    };
    writeFileSync(file, fillIn(readFileSync(join(REPOSITORY, node.role.template), 'utf8'), fields));
    Object.assign(node, { control, frontend, ready });
    const [program, ...args] = node.role.run.split(' ');
    const { PATH, HOME, LANG } = process.env;
    const child = spawn(program, args, {
      cwd: REPOSITORY,
      env: { PATH, HOME, LANG, FIGHUB_NODE_FILE: file },
      stdio: ['ignore', 'pipe', 'pipe'],
    });
    node.process = child;
    node.log = node.log ?? [];
    for (const stream of [child.stdout, child.stderr]) {
      stream.setEncoding('utf8');
      stream.on('data', (text) => this.keepLog(node, text));
    }
    child.once('exit', (code, signal) => {
      if (this.stopping || node.process !== child) return;
      const own = node.killed !== child.pid;
      node.exits.push({ atMs: now(), code, signal, own });
      this.record.add(
        `process  ${node.name} ended ${own ? 'by itself' : 'when killed'} (${String(signal ?? code)})`,
      );
      setTimeout(() => this.startNode(node), 1_000).unref();
    });
  }

  keepLog(node, text) {
    node.log.push(text);
    if (node.log.length > 4_000) node.log.splice(0, 2_000);
    if (/"level":60|heap out of memory/.test(text)) {
      const message = /"message":"((?:[^"\\]|\\.)*)"/.exec(text)?.[1] ?? 'out of memory';
      this.record.add(`log      ${node.name}: ${message}`);
    }
    if (process.env.LOGS) process.stderr.write(text);
  }

  async isReady(node) {
    const answer = await call(node.ready, 'GET', '/api/ready').catch(() => undefined);
    return answer?.status === 200;
  }

  async until(condition, limitMs) {
    const endMs = now() + limitMs;
    while (!(await condition())) {
      if (now() > endMs) throw new Error('the deployment did not become ready');
      await sleep(50);
    }
  }

  killAll() {
    this.stopping = true;
    this.nodes.forEach(({ process: child }) => child?.kill('SIGKILL'));
    rmSync(this.folder, { recursive: true, force: true });
  }
}

/** A batch job as a client submits it. */
export function job(id, items, { bytes = 0, prefix = '/okres/', change = () => ({}) } = {}) {
  return {
    id,
    prefix,
    items: Array.from({ length: items }, (_, index) => {
      const itemId = `${id}i${String(index)}`;
      return {
        id: itemId,
        path: `${prefix}3/${itemId}`,
        headers: { Model: 'm', 'Token-Count': '350,241', 'Prompt-Prefix': `9c2e41:100,${itemId}:250` },
        body: Buffer.from(`prompt of ${itemId} `.padEnd(Math.max(bytes, 30), 'x')).toString('base64'),
        tokens: 591,
        ...change(index),
      };
    }),
  };
}

/** One HTTP call on a new channel. */
export function call(address, method, path, headers = {}, body = '', timeoutMs = 5_000) {
  const [host, port] = address.split(':');
  return new Promise((resolve, reject) => {
    const all = { Host: HOST, 'Content-Length': Buffer.byteLength(body), ...headers };
    const req = request({ host, port, method, path, headers: all, agent: false, timeout: timeoutMs });
    req.once('timeout', () => req.destroy(new Error('no answer in time')));
    req.once('error', reject);
    req.once('response', (res) => {
      const parts = [];
      const finish = () =>
        resolve({
          status: res.statusCode,
          headers: res.headers,
          body: Buffer.concat(parts).toString('utf8'),
          complete: res.complete,
        });
      res.on('data', (part) => parts.push(part));
      res.once('error', finish);
      res.once('end', finish);
    });
    req.end(body);
  });
}

/** Submits a job once at a front node; the status, or 0 without an answer. */
export async function submit(fleet, node, submitted) {
  const body = JSON.stringify({ items: submitted.items });
  const headers = { 'Attempt-Id': submitted.id, 'Content-Type': 'application/json' };
  const answer = await call(node.frontend, 'POST', `${submitted.prefix}${submitted.id}`, headers, body).catch(
    (error) => ({ status: 0, detail: error.message }),
  );
  fleet.record.add(
    `submit   ${submitted.id} (${String(submitted.items.length)} items, ${String(body.length)} bytes) at ${node.name}: ${String(answer.status || answer.detail)}`,
  );
  return answer.status;
}

/** Reads the results of a job from a position; undefined without a 200. */
export async function read(fleet, node, id, after = 0) {
  const answer = await call(node.frontend, 'GET', `/api/lots/${id}?after=${String(after)}`).catch(
    (error) => ({
      status: 0,
      detail: error.message,
    }),
  );
  fleet.record.add(
    `read     ${id} after ${String(after)} at ${node.name}: ${String(answer.status || answer.detail)} ${
      answer.status === 200 ? `next ${String(JSON.parse(answer.body).next)}` : ''
    }`,
  );
  return answer.status === 200 ? JSON.parse(answer.body) : undefined;
}

/** Reads all results of a job that are listed, trying other nodes when one does not answer. */
export async function readAll(fleet, id) {
  const results = [];
  for (let tries = 0; tries < 12; tries += 1) {
    const node = fleet.fronts[tries % fleet.fronts.length];
    const page = await read(fleet, node, id, results.length);
    if (!page) {
      await sleep(200);
      continue;
    }
    results.push(...page.results);
    if (page.results.length === 0 || results.length >= page.total) break;
  }
  return results;
}

/**
 * Whether an unlisted item is lost by the rule LOST for items of open batch jobs, apart from the bound in time: in the last 5 s no
 * replica had an unlisted item of its job and the replicas were under half full, and in the last 3 s no item of any job was finished.
 * Runs that their sender ends within a second don't count. Finished items don't excuse if those of the last 5 s are under a tenth of
 * all that wait. `items` are all items of the job, `waiting` is the number of unlisted items of all jobs.
 */
export function isLost(fleet, items, waiting) {
  const runs = fleet.replicas.flatMap((replica) => replica.runs);
  const ids = new Set(items.map(({ id }) => id));
  const ended = ({ endedAtMs = now() }, withinMs) => now() - endedAtMs < withinMs;
  const recent = runs.filter(
    (run) => ended(run, 5_000) && (run.whole || (run.endedAtMs ?? now()) - run.atMs >= 1_000),
  );
  const hadOne = recent.some((run) => ids.has(run.requestId) && !run.whole);
  const finished = runs.filter((run) => run.whole && ended(run, 3_000)).length;
  const isExcused = finished > 0 && recent.filter((run) => run.whole).length >= waiting / 10;
  const isHalfFull = recent.length >= (fleet.replicas.length * fleet.replicas[0].slots) / 2;
  return !hadOne && !isExcused && !isHalfFull;
}

/** How often processes have ended by themselves, and what the rules say of that. */
export function ownExits(fleet) {
  const counts = fleet.nodes.map(({ name, exits }) => ({
    name,
    count: exits.filter(({ own }) => own).length,
  }));
  const some = counts
    .filter(({ count }) => count > 0)
    .map(({ name, count }) => `${name} ${String(count)} times`);
  const threeTimes = counts.filter(({ count }) => count >= 3).length;
  if (some.length === 0) return 'no process ended by itself';
  return `ended by themselves: ${some.join(', ')} (${String(threeTimes)} machines three times or more)`;
}

/** Ends the script: writes the record and exits with 1 if the rule was broken, else with 0. */
export function finish(fleet, isBroken, text) {
  fleet.record.add(`${isBroken ? 'BROKEN' : 'HELD'}: ${text}`);
  fleet.record.write();
  process.stdout.write(`${isBroken ? 'broken' : 'held'}: ${text}\n`);
  process.exit(isBroken ? 1 : 0);
}

/** Runs a script; errors of its own mean that the case could not run. */
export function main(folder, options, script) {
  const record = new Record(folder);
  const fleet = new Fleet(record, options);
  const giveUp = (reason) => {
    record.add(`COULD NOT RUN: ${reason}`);
    record.write();
    process.stderr.write(`could not run: ${reason}\n`);
    process.exit(2);
  };
  process.once('uncaughtException', (error) => giveUp(error.stack));
  setTimeout(() => giveUp('the time limit of the script was reached'), 117_000).unref();
  fleet
    .start()
    .then(() => script(fleet, process.env.TROUBLE !== '0'))
    .catch((error) => giveUp(error.stack));
}

function json(res, status, body) {
  if (res.destroyed) return;
  const text = JSON.stringify(body);
  res.writeHead(status, { 'Content-Type': 'application/json', 'Content-Length': Buffer.byteLength(text) });
  res.end(text);
}

function listen(server, host) {
  return new Promise((resolve, reject) => {
    server.once('error', reject);
    server.listen(0, host, () => resolve(`${host}:${String(server.address().port)}`));
  });
}

async function freePorts(count) {
  const servers = Array.from({ length: count }, () => createTcpServer());
  const ports = await Promise.all(
    servers.map((server) => new Promise((resolve) => server.listen(0, () => resolve(server.address().port)))),
  );
  await Promise.all(servers.map((server) => new Promise((resolve) => server.close(resolve))));
  return ports;
}

/** The roles of deploy/system.toml with their commands and templates. */
function rolesOfDeployFile() {
  const text = readFileSync(join(REPOSITORY, 'deploy/system.toml'), 'utf8');
  const roles = {};
  let role;
  for (const line of text.split('\n')) {
    const section = /^\[roles\.(\w+)\]/.exec(line);
    if (section) role = roles[section[1]] = {};
    const field = /^(run|template) = "(.*)"/.exec(line);
    if (field && role) role[field[1]] = field[2];
  }
  return roles;
}

/** Fills a template of settings in, as DEPLOY.md says: values, lists, and sections. */
function fillIn(template, fields) {
  const valueOf = (path, scope) => path.split('.').reduce((value, key) => value?.[key], scope);
  const sections = /\{\{([#^])([\w.]+)\}\}((?:(?!\{\{[#^]).)*?)\{\{\/\2\}\}/s;
  let text = template;
  for (let match = sections.exec(text); match; match = sections.exec(text)) {
    const [whole, kind, path, inner] = match;
    const value = valueOf(path, fields);
    let filled = '';
    if (kind === '^') filled = value === undefined || value === false ? inner : '';
    else if (Array.isArray(value))
      filled = value
        .map((item, index) =>
          inner.replaceAll('{{.}}', String(item)).replaceAll('{{,}}', index < value.length - 1 ? ',' : ''),
        )
        .join('');
    else if (value !== undefined && value !== false) filled = inner.replaceAll('{{.}}', String(value));
    text = text.replace(whole, () => filled);
  }
  return text.replace(/\{\{([\w.]+)\}\}/g, (_, path) => String(valueOf(path, fields) ?? ''));
}
