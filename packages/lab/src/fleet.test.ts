import { connect } from 'node:net';

import { ApiClient } from '@fighub/client';
import type { Outcome } from '@fighub/core';
import { tokenText } from '@fighub/standins';
import fc from 'fast-check';
import got from 'got';
import { afterAll, beforeAll, describe, expect, it } from 'vitest';

import { Fleet, countByStatus, waitFor } from './fleet.js';

let fleet: Fleet;

beforeAll(async () => {
  // With a short time-out, entries on a slow machine would give up on a pool owner and fall back to choosing replicas
  // themselves, which has limits of its own.
  const entrySettings = { peers: { acquireTimeoutMs: 5_000 } };
  fleet = await Fleet.start({ plainService: true, throughProxy: true, replicasPerDomain: 1, entrySettings });
});

afterAll(async () => {
  await fleet.stop();
});

interface BadRequest {
  readonly body?: string;
  readonly json?: object;
  readonly headers?: Record<string, string>;
}

function valueOf<T>(outcome: Outcome<T, unknown>): T {
  if (!outcome.ok) throw new Error(JSON.stringify(outcome.error));
  return outcome.value;
}

function expectedText(prompt: string, tokens: number): string {
  return Array.from({ length: tokens }, (_, index) => tokenText(prompt, index)).join('');
}

/** Sends raw bytes and half-closes the connection at once; resolves with the response, or '' after a socket error. */
function rawRequest(text: string): Promise<string> {
  const { hostname, port } = new URL(fleet.entry(0).address);
  return new Promise((resolve) => {
    const parts: Buffer[] = [];
    const socket = connect(Number(port), hostname, () => socket.end(text));
    socket.on('data', (part) => parts.push(part));
    socket.on('error', () => resolve(''));
    socket.on('close', () => resolve(Buffer.concat(parts).toString('utf8')));
  });
}

describe('a fleet of real processes', () => {
  it('streams complete responses through every instance', async () => {
    const outcomes = await Promise.all(
      fleet.entries.map((entry, index) =>
        fleet
          .caller(entry, 'obloha')
          .stream({ model: 'alert-modely', prompt: `p${String(index)}`, maxTokens: 10 }),
      ),
    );
    expect(outcomes.map((outcome) => valueOf(outcome).text)).toEqual(
      outcomes.map((_, index) => expectedText(`p${String(index)}`, 10)),
    );
  });

  it('completes a job and reads every result through another instance', async () => {
    const lines = Array.from({ length: 120 }, (_, i) =>
      JSON.stringify({ custom_id: `c${String(i)}`, prompt: `b${String(i)}`, max_tokens: 4 }),
    );
    const caller = fleet.caller(fleet.entry(0), 'obloha');
    const job = valueOf(await caller.createJob({ model: 'alert-modely', lines, idempotencyKey: 'k1' }));
    const resent = valueOf(
      await fleet
        .caller(fleet.entry(1), 'obloha')
        .createJob({ model: 'alert-modely', lines, idempotencyKey: 'k1' }),
    );
    expect(resent.jobId).toBe(job.jobId);
    await waitFor('the job', async () => valueOf(await caller.job(job.jobId)).state === 'complete');
    const results = valueOf(await fleet.caller(fleet.entry(2), 'obloha').allResults(job.jobId));
    expect(countByStatus(results)).toEqual({ succeeded: 120 });
    expect(results.map((result) => result.index).sort((a, b) => a - b)).toEqual(
      lines.map((_, index) => index),
    );
    expect(results.every((result) => result.text === expectedText(`b${String(result.index)}`, 4))).toBe(true);
  });

  it('refuses the same job key with another body, and shows no job to another organisation', async () => {
    const caller = fleet.caller(fleet.entry(0), 'obloha');
    const lines = [JSON.stringify({ prompt: 'one', max_tokens: 2 })];
    const job = valueOf(await caller.createJob({ model: 'alert-modely', lines, idempotencyKey: 'k2' }));
    const other = await caller.createJob({
      model: 'alert-modely',
      lines: [...lines, ...lines],
      idempotencyKey: 'k2',
    });
    expect(other).toMatchObject({ ok: false, error: { status: 409, code: 'key_reused', run: 'not_run' } });
    const foreign = await fleet.caller(fleet.entry(0), 'meteo-tatry').job(job.jobId);
    expect(foreign).toMatchObject({ ok: false, error: { status: 404 } });
  });

  it('names the line of a malformed item and creates no job', async () => {
    const caller = fleet.caller(fleet.entry(0), 'obloha');
    const lines = ['{"prompt":"fine"}', '{"prompt":'];
    const job = await caller.createJob({ model: 'alert-modely', lines, idempotencyKey: 'k3' });
    expect(job).toMatchObject({ ok: false, error: { code: 'bad_item', run: 'not_run' } });
    expect(job.ok ? '' : job.error.detail).toContain('line 2');
    const fixed = await caller.createJob({
      model: 'alert-modely',
      lines: lines.slice(0, 1),
      idempotencyKey: 'k3',
    });
    expect(fixed.ok).toBe(true);
  });

  // Guards against a job that is refused, or torn into other items, for a character in a prompt.
  it('accepts items whose prompts have characters that end lines elsewhere', async () => {
    const caller = fleet.caller(fleet.entry(0), 'obloha');
    const lines = ['{"prompt":"wear a hat.\u2028Stay in the shade."}', '{"prompt":"a\u2029b\u0085c"}'];
    const job = await caller.createJob({ model: 'alert-modely', lines, idempotencyKey: 'k-lines' });
    const view = await caller.job(valueOf(job).jobId);
    expect(view).toMatchObject({ ok: true, value: { itemCount: 2 } });
  });

  it('runs a keyed non-idempotent call once and returns the same response through another instance', async () => {
    const order = { orderId: 'o-1' };
    const first = valueOf(
      await fleet.caller(fleet.entry(0), 'obloha').callService('print', 'orders', order, 'key-o-1'),
    );
    const again = valueOf(
      await fleet.caller(fleet.entry(1), 'obloha').callService('print', 'orders', order, 'key-o-1'),
    );
    expect(again).toEqual(first);
    const journal = await got(`${fleet.service?.ready.address ?? ''}/journal`).json();
    expect(journal).toEqual({ 'o-1': 1 });
  });

  it('reports may_have_run for a non-idempotent call whose response is lost, and never runs it again', async () => {
    await fleet.setRouteFaults(['print-1'], { dropAnswers: true });
    const order = { orderId: 'o-2' };
    const call = fleet.caller(fleet.entry(0), 'obloha').callService('print', 'orders', order, 'key-o-2');
    await waitFor('the order', async () => {
      const journal = await got(`${fleet.service?.ready.address ?? ''}/journal`).json<
        Record<string, number>
      >();
      return journal['o-2'] === 1;
    });
    await fleet.setRouteFaults(['print-1'], { cut: true });
    expect(await call).toMatchObject({ ok: false, error: { run: 'may_have_run' } });
    await fleet.setRouteFaults(['print-1'], { cut: false, dropAnswers: false });
    const again = await fleet
      .caller(fleet.entry(1), 'obloha')
      .callService('print', 'orders', order, 'key-o-2');
    expect(again).toMatchObject({ ok: false, error: { run: 'may_have_run' } });
    const journal = await got(`${fleet.service?.ready.address ?? ''}/journal`).json<Record<string, number>>();
    expect(journal['o-2']).toBe(1);
  });

  it('enforces a limit of requests in flight across the whole fleet', async () => {
    const admin = fleet.admin(fleet.entry(0));
    valueOf(await admin.putRow('share/slnko-data/alert-modely', { maxInFlight: 2 }));
    expect(valueOf(await admin.inForce('share/slnko-data/alert-modely', 10_000)).inForce).toBe(true);
    const sendRequest = (index: number) =>
      fleet
        .caller(fleet.entry(index), 'slnko-data')
        .stream({ model: 'alert-modely', prompt: `limit ${String(index)}`, maxTokens: 12 });
    const outcomes = await Promise.all(Array.from({ length: 12 }, (_, index) => sendRequest(index)));
    expect(outcomes.every((outcome) => outcome.ok)).toBe(true);
    const journal = (await fleet.journals()).filter((entry) => entry.organisation === 'slnko-data');
    const atOnce = journal.map(
      (entry) =>
        journal.filter(
          (other) =>
            other.receivedAtUnixMs <= entry.receivedAtUnixMs &&
            (other.endedAtUnixMs ?? 0) > entry.receivedAtUnixMs,
        ).length,
    );
    expect(Math.max(...atOnce)).toBeLessThanOrEqual(2);
    valueOf(await admin.deleteRow('share/slnko-data/alert-modely'));
  });

  it('accepts one of two concurrent edits of a row and returns the present row for the other', async () => {
    const [first, second] = [fleet.admin(fleet.entry(0)), fleet.admin(fleet.entry(1))];
    const created = valueOf(await first.putRow('share/obloha/race', { weight: 1 }, 0));
    const edits = await Promise.all([
      first.putRow('share/obloha/race', { weight: 2 }, created.revision),
      second.putRow('share/obloha/race', { weight: 3 }, created.revision),
    ]);
    const loser = edits.find((edit) => !edit.ok);
    const winner = edits.find((edit) => edit.ok);
    expect(loser).toMatchObject({ ok: false, error: { status: 409, code: 'row_changed' } });
    expect(loser?.ok === false && loser.error.present).toEqual(winner?.ok && winner.value);
    expect(valueOf(await first.inForce('share/obloha/race', 10_000)).inForce).toBe(true);
  });

  it('rotates the key of an organisation without interruption and retires the organisation', async () => {
    const admin = fleet.admin(fleet.entry(0));
    const first = valueOf(await admin.createOrganisation('okresy', 'caller'));
    const completeWithKey = (key: string) =>
      new ApiClient(fleet.entry(0).address, key).complete({
        model: 'alert-modely',
        prompt: 'p',
        maxTokens: 1,
      });
    const second = valueOf(await admin.addKey('okresy'));
    expect([(await completeWithKey(first.key)).ok, (await completeWithKey(second.key)).ok]).toEqual([
      true,
      true,
    ]);
    valueOf(await admin.removeKey('okresy', first.keyHash));
    expect([(await completeWithKey(first.key)).ok, (await completeWithKey(second.key)).ok]).toEqual([
      false,
      true,
    ]);
    valueOf(await admin.retireOrganisation('okresy'));
    expect(await completeWithKey(second.key)).toMatchObject({ ok: false, error: { status: 401 } });
  });

  it('denies callers the routes of operators, and denies operators changes to organisations', async () => {
    const caller = fleet.caller(fleet.entry(0), 'obloha');
    expect(await caller.table()).toMatchObject({ ok: false, error: { status: 403 } });
    expect(await caller.dump()).toMatchObject({ ok: false, error: { status: 403 } });
    const { key } = valueOf(await fleet.admin(fleet.entry(0)).createOrganisation('dispecing', 'operator'));
    const operator = new ApiClient(fleet.entry(0).address, key);
    expect((await operator.putRow('share/obloha/ops', { weight: 2 })).ok).toBe(true);
    expect(await operator.putRow('organisation/mine', { keyHashes: [] })).toMatchObject({
      ok: false,
      error: { status: 403 },
    });
    expect(await operator.createOrganisation('mine', 'administrator')).toMatchObject({
      ok: false,
      error: { status: 403 },
    });
  });

  it.each<[string, BadRequest, number, string]>([
    ['broken JSON', { body: '{"model":' }, 400, 'bad_json'],
    ['an unknown model', { json: { model: 'none', prompt: 'p' } }, 404, 'unknown_model'],
    ['a missing prompt', { json: { model: 'alert-modely' } }, 400, 'bad_request'],
    ['a body over the limit', { body: 'x'.repeat(1_100_000) }, 413, 'body_too_large'],
    [
      'a bad deadline',
      { json: { model: 'alert-modely', prompt: 'p' }, headers: { 'fighub-deadline-unix-ms': 'soon' } },
      400,
      'bad_header',
    ],
    ['an unknown key', { json: {}, headers: { authorization: 'Bearer nobody' } }, 401, 'unauthenticated'],
  ])('refuses %s as not run', async (_name, options, status, code) => {
    const response = await got.post(`${fleet.entry(0).address}/v1/completions`, {
      throwHttpErrors: false,
      retry: { limit: 0 },
      ...options,
      headers: { authorization: 'Bearer key-obloha', ...options.headers },
    });
    expect(response.statusCode).toBe(status);
    expect(response.headers['content-type']).toBe('application/problem+json');
    expect(JSON.parse(response.body)).toMatchObject({ code, run: 'not_run', status });
  });

  it.each<[string, string, number, string]>([
    ['GET', '/favicon.ico', 404, 'not_found'],
    ['POST', '/healthz', 405, 'method_not_allowed'],
    ['GET', '/v1/jobs/%ZZ', 404, 'not_found'],
  ])('responds to %s %s with %i', async (method, path, status, code) => {
    const response = await rawRequest(`${method} ${path} HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n`);
    expect(response).toContain(`HTTP/1.1 ${String(status)}`);
    expect(response).toContain(`"code":"${code}"`);
    expect(response).toContain('"run":"not_run"');
  });

  it('keeps running after arbitrary requests', async () => {
    const method = fc.constantFrom('GET', 'POST', 'PUT', 'DELETE', 'PATCH', 'BREW');
    const path = fc.oneof(
      fc.constantFrom(
        '/v1/completions',
        '/v1/jobs',
        '/v1/jobs?model=alert-modely',
        '/admin/v1/table/rows/model/a',
      ),
      fc.webPath(),
      fc.string(),
    );
    const body = fc.oneof(fc.string(), fc.json());
    await fc.assert(
      fc.asyncProperty(method, path, body, fc.boolean(), async (verb, target, text, isLengthCorrect) => {
        const length = isLengthCorrect ? Buffer.byteLength(text) : text.length + 3;
        const head = `${verb} ${target} HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer key-obloha\r\n`;
        await rawRequest(`${head}Connection: close\r\nContent-Length: ${String(length)}\r\n\r\n${text}`);
      }),
      { seed: 13, numRuns: 150 },
    );
    expect(fleet.fatalLogLines()).toEqual([]);
    expect(fleet.entries.every((entry) => entry.process.running)).toBe(true);
  });

  it('removes a killed instance whose port its replacement has taken over, and serves through the replacement', async () => {
    const entry = fleet.entry(2);
    await entry.process.kill();
    await fleet.restartEntry(entry);
    await fleet.waitUntilSettled();
    expect(
      (await fleet.caller(entry, 'obloha').stream({ model: 'alert-modely', prompt: 'again', maxTokens: 2 }))
        .ok,
    ).toBe(true);
  });

  it('refuses a peer that does not know the fleet secret', async () => {
    const { PeerNode } = await import('@fighub/peers');
    const { Metrics } = await import('@fighub/core');
    const dump = valueOf(await fleet.admin(fleet.entry(0)).dump());
    const self = (dump.members as { instanceId: string; peerAddress: string }[]).find(
      (m) => m.instanceId === dump.instanceId,
    );
    const stranger = new PeerNode(
      { instanceId: 'x', host: '127.0.0.1', port: 0, secret: 'a wrong secret, long' },
      new Metrics(),
      () => undefined,
    );
    const outcome = await stranger.request(self?.peerAddress ?? '', 'permit.acquire', {} as never, 5_000);
    expect(outcome).toEqual({ ok: false, error: 'not_connected' });
    stranger.close();
  });
});
