/**
 * Runs one case: starts a small deployment with the commands of the deploy file, against the project's own stand-ins, writes
 * what was sent, answered and run to `record.txt`, and ends with 0 if the rule held, 1 if it was broken, 2 if the case could not run.
 */
import { Buffer } from 'node:buffer';
import { appendFileSync, readFileSync, writeFileSync } from 'node:fs';
import { Agent, request } from 'node:http';
import { dirname, join } from 'node:path';
import { performance } from 'node:perf_hooks';
import process from 'node:process';
import { clearTimeout, setTimeout } from 'node:timers';
import { fileURLToPath } from 'node:url';

export const ROOT = join(dirname(fileURLToPath(import.meta.url)), '../..');
/** The host that all routes of the stand-in configuration have. */
export const HOST = 'school.example';
/** The disruption is left out with TROUBLE=0. */
export const TROUBLE = process.env.TROUBLE !== '0';
/** The case ends itself before the 120 s that it may take. */
const LIMIT_MS = 112_000;
const READY_LIMIT_MS = 20_000;

const startedMs = performance.now();
let recordPath = '';
let fleet;
let stopping = false;

export function sleep(ms) {
  return new Promise((resolve) => setTimeout(resolve, ms));
}

/** Milliseconds since the start of the case. */
export function nowMs() {
  return Math.round(performance.now() - startedMs);
}

/** Adds a line to the record and to standard output. */
export function say(text) {
  const line = `${String(nowMs()).padStart(6)} ${text}`;
  process.stdout.write(`${line}\n`);
  appendFileSync(recordPath, `${line}\n`);
}

/** Adds a line to the record only. */
export function note(text) {
  appendFileSync(recordPath, `${String(nowMs()).padStart(6)} ${text}\n`);
}

async function finish(status) {
  if (stopping) return;
  stopping = true;
  await fleet?.stop().catch(() => undefined);
  process.exit(status);
}

/** Runs `body`, which returns whether the rule was broken. */
export async function runCase(folder, body) {
  recordPath = join(folder, 'record.txt');
  writeFileSync(recordPath, '');
  setTimeout(() => {
    say('the case did not end in time');
    void finish(2);
  }, LIMIT_MS).unref();
  process.on('SIGTERM', () => void finish(2));
  process.on('SIGINT', () => void finish(2));
  // The stand-ins of the store and the replicas throw when a process that is killed breaks off a request to them.
  process.on('unhandledRejection', (error) => {
    if (!/aborted|ECONNRESET|EPIPE/.test(String(error))) {
      say(`unexpected error: ${String(error?.stack ?? error)}`);
      void finish(2);
    }
  });
  try {
    say(`TROUBLE=${TROUBLE ? '1' : '0'}, ${process.arch}, Node.js ${process.version}`);
    const isBroken = await body();
    say(isBroken ? 'RESULT: the rule was broken' : 'RESULT: the rule held');
    await finish(isBroken ? 1 : 0);
  } catch (error) {
    say(`the case could not run: ${String(error?.stack ?? error)}`);
    await finish(2);
  }
}

/** Waits until `check` returns a true value; an error counts as none. */
export async function until(check, what, limitMs = READY_LIMIT_MS) {
  const endMs = performance.now() + limitMs;
  for (;;) {
    try {
      if (await check()) return;
    } catch {
      // Not yet.
    }
    if (performance.now() > endMs) throw new Error(`not in time: ${what}`);
    await sleep(50);
  }
}

/**
 * Starts the deployment and waits until it serves. The limits of callers are those of the small site files; `routes` are added, and
 * `edit` may change the others.
 */
export async function startFleet({
  replicas,
  eventMs,
  coordinators,
  entries,
  routes = [],
  edit = (route) => route,
}) {
  const standins = await import('../../target/review-2/standins.mjs');
  readFileSync(join(ROOT, 'target/fighub-node.cjs'));
  fleet = await standins.DeployedFleet.prepare(ROOT, replicas, eventMs);
  const configuration = standins.routingConfiguration(7, routes);
  fleet.store.write('op/config', {
    ...configuration,
    routes: configuration.routes.map(edit),
    limits: {
      maxHeaderBytes: 16_384,
      maxBodyBytes: 4_194_304,
      headerTimeoutMs: 3_000,
      idleTimeoutMs: 15_000,
    },
  });
  // The memory and the descriptors of the machines of `sites/uv-skoly.toml`.
  const started = { coordinators: [], entries: [] };
  for (let index = 0; index < coordinators; index += 1)
    started.coordinators.push(
      await fleet.addNode({ role: 'coordinator', limits: { memoryMb: 390, maxFds: 8_200 } }),
    );
  for (let index = 0; index < entries; index += 1)
    started.entries.push(await fleet.addNode({ role: 'entry', limits: { memoryMb: 350, maxFds: 4_100 } }));
  await Promise.all(started.entries.map((entry) => until(() => entry.isReady(), `${entry.name} is ready`)));
  await Promise.all(
    started.entries.map((entry, index) =>
      until(
        async () =>
          (await send(entry, { path: '/once/a', id: `warm${String(index)}-${String(nowMs())}` })).status ===
          200,
        `${entry.name} serves`,
      ),
    ),
  );
  say(
    `the deployment serves: ${String(entries)} entries, ${String(coordinators)} coordinators, ${String(replicas)} replicas`,
  );
  return { ...started, store: fleet.store, replicas: fleet.replicas };
}

/**
 * Sends one request and resolves when it has ended: `status` 0 if there was no response, `complete` false if the connection closed
 * before the end, `firstMs` when the head of the response arrived. Gives up after `limitMs`.
 */
export function send(
  node,
  { method = 'POST', path, id, headers = {}, body = 'x', agent = false, limitMs = 30_000 },
) {
  const sentMs = nowMs();
  return new Promise((resolve) => {
    let settled = false;
    let head = { status: 0, firstMs: undefined };
    let text = '';
    const end = (outcome) => {
      if (settled) return;
      settled = true;
      clearTimeout(timer);
      resolve({ ...head, text, sentMs, endMs: nowMs(), ...outcome });
    };
    const req = request(`http://${node.addresses.callerAddress}${path}`, {
      method,
      agent,
      headers: {
        Host: HOST,
        ...(id === undefined ? {} : { 'Attempt-Id': id }),
        'Content-Length': Buffer.byteLength(body),
        ...headers,
      },
    });
    const timer = setTimeout(() => {
      end({ complete: false, error: 'no answer', gaveUp: true });
      req.destroy();
    }, limitMs);
    req.once('error', (error) => end({ complete: false, error: error.code ?? String(error) }));
    req.once('response', (res) => {
      head = { status: res.statusCode, firstMs: nowMs() };
      res.on('data', (part) => (text += part.toString('utf8')));
      res.once('end', () => end({ complete: res.complete }));
      res.once('error', (error) => end({ complete: false, error: error.code ?? String(error) }));
      res.once('close', () => end({ complete: res.complete, error: res.complete ? undefined : 'closed' }));
    });
    req.end(body);
  });
}

/** The body of a batch job of items with these headers and request bodies. */
export function jobBody(jobId, count, { tokens = 591, bodyBytes = 30, headers = {} } = {}) {
  const body = Buffer.alloc(bodyBytes, 'b').toString('base64');
  const items = Array.from({ length: count }, (_, index) => ({
    id: `${jobId}-${String(index)}`,
    path: `/jobs/x/${jobId}`,
    headers: { Model: 'm', 'Token-Count': '350,241', ...headers },
    body,
    tokens,
  }));
  return JSON.stringify({ items });
}

/** Hands a job in at the first of these entries, and again at the next one after any answer but 202, up to `tries` times. */
export async function submit(entries, jobId, body, tries = 4, limitMs = 10_000) {
  for (let attempt = 0; attempt < tries; attempt += 1) {
    const entry = entries[attempt % entries.length];
    const answer = await send(entry, { path: `/jobs/${jobId}`, id: jobId, body, limitMs });
    note(
      `job ${jobId} (${String(body.length)} bytes) at ${entry.name}: ${String(answer.status || answer.error)}`,
    );
    if (answer.status === 202) return true;
    await sleep(400);
  }
  return false;
}

/** All results of a job that can be read at one of these entries; undefined if it could not be read. */
export async function readJob(entries, jobId) {
  for (const entry of entries) {
    const results = [];
    for (;;) {
      const path = `/api/lots/${jobId}?after=${String(results.length)}`;
      const answer = await send(entry, { method: 'GET', path, body: '', limitMs: 3_000 });
      if (answer.status !== 200 || !answer.complete) break;
      const page = JSON.parse(answer.text);
      results.push(...page.results);
      if (page.results.length === 0 || results.length >= page.total) return results;
    }
  }
  return undefined;
}

/**
 * Ordinary callers, each with a kept connection to one entry, on which it sends one request after the other until `stop`. `answers`
 * holds what each request got.
 */
export class OrdinaryCallers {
  answers = [];
  #stopped = false;
  #running = [];
  #agents = [];

  constructor(entry, count, path, { pauseMs = 50, deadlineMs = 5_000, limitMs = 8_000, prefix = 'c' } = {}) {
    this.#running = Array.from({ length: count }, async (_, index) => {
      const agent = new Agent({ keepAlive: true, maxSockets: 1 });
      this.#agents.push(agent);
      for (let turn = 0; !this.#stopped; turn += 1) {
        const id = `${prefix}-${entry.name}-${String(index)}-${String(turn)}`;
        const headers = {
          'Deadline-Ms': String(deadlineMs),
          'Token-Count': '350,84',
          'Prompt-Prefix': 'a1:100,b2:100,c3:150',
        };
        const answer = await send(entry, { path, id, headers, agent, limitMs });
        this.answers.push({ id, ...answer });
        note(
          `request ${id}: sent ${String(answer.sentMs)}, head ${String(answer.firstMs)}, end ${String(answer.endMs)}, ` +
            `status ${String(answer.status)}${answer.complete ? '' : ` ${answer.error}`}`,
        );
        await sleep(pauseMs);
      }
    });
  }

  /** Sends no more requests, and resolves when those that were sent have ended. */
  async stop() {
    this.#stopped = true;
    await Promise.all(this.#running);
    this.#agents.forEach((agent) => agent.destroy());
  }
}

/** Resident memory of a process in megabytes; 0 if it does not run. */
export function residentMb(node) {
  try {
    return Math.round(
      Number(/VmRSS:\s+(\d+)/.exec(readFileSync(`/proc/${String(node.pid)}/status`, 'utf8'))[1]) / 1_024,
    );
  } catch {
    return 0;
  }
}

/** How the processes of these nodes have ended by themselves. */
export function ownEnds(nodes) {
  return nodes
    .map(
      (node) =>
        `${node.name}: ${node.ownEnds.map(({ exitCode, signal }) => signal ?? exitCode).join(' ') || 'none'}`,
    )
    .join(', ');
}

/** Writes what the replicas have run to the record. */
export function noteRuns(replicas) {
  replicas.forEach(({ replicaId, runs }) =>
    runs.forEach(({ requestId, startedAtMs, closed, writtenEvents }) =>
      note(
        `run ${requestId} at ${replicaId}: begun ${String(Math.round(startedAtMs - startedMs))}, events ${String(writtenEvents)}` +
          (closed ? '' : ', still running'),
      ),
    ),
  );
}
