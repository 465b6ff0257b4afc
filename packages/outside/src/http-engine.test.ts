import type { AddressInfo } from 'node:net';
import { createServer } from 'node:http';

import { afterEach, describe, expect, it } from 'vitest';

import type { EngineChunk, EngineEnd } from './engine.js';
import { HttpEngine } from './http-engine.js';

const CALL = {
  requestId: 'q',
  attemptId: 'a',
  organisation: 'o',
  model: 'm',
  prompt: 'p',
  maxTokens: 2,
  fromToken: 0,
  idempotent: true,
};

function eventOf(text: string, tokenIndex: number): string {
  const body = { id: 'q', attempt_id: 'a', token_index: tokenIndex, choices: [{ text }] };
  return `data: ${JSON.stringify(body)}\n\n`;
}

describe('HttpEngine', () => {
  const server = createServer();
  const engine = new HttpEngine();

  afterEach(() => {
    engine.close();
    server.closeAllConnections();
    server.close();
    server.removeAllListeners('request');
  });

  /** Sends the parts as one response, each in a packet of its own. */
  async function run(
    parts: readonly Buffer[],
    gapMs = 5_000,
  ): Promise<{ end: EngineEnd; chunks: EngineChunk[] }> {
    server.on('request', (_request, response) => {
      response.writeHead(200, { 'content-type': 'text/event-stream' });
      parts.forEach((part, index) => setTimeout(() => response.write(part), 30 * index));
      setTimeout(() => response.end(), 30 * parts.length);
    });
    await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve));
    const { port } = server.address() as AddressInfo;
    const chunks: EngineChunk[] = [];
    const end = await engine.run(
      { ...CALL, address: `http://127.0.0.1:${String(port)}` },
      { headersMs: 5_000, gapMs },
      (chunk) => chunks.push(chunk),
      new AbortController().signal,
    );
    return { end, chunks };
  }

  it.each(['{}', 'null', '[]', '{"running":0,"waiting":0,"maxConcurrency":8,"cachedPrefixes":"p"}'])(
    'takes a load report without the fields of one for none: %s',
    async (body) => {
      server.on('request', (_request, response) => response.end(body));
      await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve));
      const { port } = server.address() as AddressInfo;
      expect(await engine.load(`http://127.0.0.1:${String(port)}`)).toBeUndefined();
    },
  );

  it('ends a stream as broken that sends bytes but completes no event', async () => {
    const bytes = Array.from({ length: 200 }, () => Buffer.from('x'));
    const { end } = await run([Buffer.from(eventOf('one', 0)), Buffer.from('data: '), ...bytes], 1_000);
    expect(end).toMatchObject({ kind: 'broken', detail: 'the upstream completed no event in 2000 ms' });
  });

  it('ends a stream as broken at a malformed event', async () => {
    const { end, chunks } = await run([Buffer.from(eventOf('one', 0)), Buffer.from('data: {"id":\n\n')]);
    expect(end).toMatchObject({ kind: 'broken', sent: true });
    expect(chunks.map((chunk) => chunk.text)).toEqual(['one']);
  });

  it('reads a character whose bytes arrive in two parts', async () => {
    const bytes = Buffer.from(`${eventOf('š', 0)}data: [DONE]\n\n`);
    const inside = bytes.indexOf(Buffer.from('š')) + 1;
    const { end, chunks } = await run([bytes.subarray(0, inside), bytes.subarray(inside)]);
    expect(end.kind).toBe('completed');
    expect(chunks.map((chunk) => chunk.text)).toEqual(['š']);
  });
});
