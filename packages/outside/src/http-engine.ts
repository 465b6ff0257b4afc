/** Client of engines that have an OpenAI-style HTTP interface with server-sent events. */
import type { Agent } from 'node:http';
import { StringDecoder } from 'node:string_decoder';

import { WaitLimit } from '@fighub/core';
import { createParser } from 'eventsource-parser';
import got from 'got';
import { z } from 'zod';

import { ConnectionPools, nonPersistentAgent } from './connection-pool.js';
import type { Engine, EngineCall, EngineChunk, EngineEnd, EngineLoad, InactivityTimeouts } from './engine.js';
import { EngineEndKind } from './engine.js';
import { parseJson } from './json.js';
import { isNotSent } from './not-sent.js';

interface RefusalBody {
  readonly code?: string;
  readonly run?: string;
  readonly detail?: string;
}

const END_KIND_BY_CODE: Readonly<Record<string, EngineEndKind>> = {
  leaving: EngineEndKind.leaving,
  overloaded: EngineEndKind.overloaded,
  fenced: EngineEndKind.fenced,
  rejected: EngineEndKind.rejected,
};
const HTTP_OK = 200;
const LOAD_TIMEOUT_MS = 500;
const CONNECT_TIMEOUT_MS = 300;

/** `Engine` over HTTP. */
export class HttpEngine implements Engine {
  private readonly pools: ConnectionPools;
  private readonly nonPersistent;

  constructor(localAddress?: string) {
    this.pools = new ConnectionPools(localAddress);
    this.nonPersistent = nonPersistentAgent(localAddress);
  }

  run(
    call: EngineCall,
    limits: InactivityTimeouts,
    onChunk: (chunk: EngineChunk) => void,
    signal: AbortSignal,
  ): Promise<EngineEnd> {
    return new Promise((resolve) => {
      const agent = call.idempotent ? this.pools.agentFor(call.address) : this.nonPersistent;
      const replace = (): void => this.pools.replace(call.address);
      new StreamRun(call, limits, onChunk, signal, agent, replace, resolve).start();
    });
  }

  async load(address: string): Promise<EngineLoad | undefined> {
    try {
      const report = await got(`${address}/load`, {
        agent: { http: this.pools.agentFor(address) },
        timeout: { request: LOAD_TIMEOUT_MS },
        retry: { limit: 0 },
      }).json();
      return loadSchema.parse(report);
    } catch {
      this.pools.replace(address);
      return undefined;
    }
  }

  /** Closes all persistent connections, including those in use. */
  close(): void {
    this.pools.close();
  }
}

/** A whole event may take this many times as long as any bytes. */
const EVENT_GAP_FACTOR = 2;

/** Runs one stream, from sending its request until its end. Calls `resolve` exactly once. */
class StreamRun {
  private settled = false;
  private status = 0;
  private refusal = '';
  private readonly parser = createParser({ onEvent: (event) => this.onEvent(event.data) });
  /** Keeps the bytes of a character that is split between two parts. */
  private readonly decoder = new StringDecoder('utf8');
  private inactivityLimit: WaitLimit | undefined;
  /** Runs while no whole event has arrived since the head or the last one. */
  private eventLimit: WaitLimit | undefined;
  private destroyStream: () => void = () => undefined;

  constructor(
    private readonly call: EngineCall,
    private readonly limits: InactivityTimeouts,
    private readonly onChunk: (chunk: EngineChunk) => void,
    private readonly signal: AbortSignal,
    private readonly agent: Agent,
    private readonly replaceConnections: () => void,
    private readonly resolve: (end: EngineEnd) => void,
  ) {}

  start(): void {
    if (this.signal.aborted) {
      this.finish(EngineEndKind.cancelled, 'the call was cancelled before it was sent', false);
      return;
    }
    const stream = got.stream.post(`${this.call.address}/v1/completions`, {
      json: requestBody(this.call),
      agent: { http: this.agent },
      timeout: { connect: CONNECT_TIMEOUT_MS },
      retry: { limit: 0 },
      throwHttpErrors: false,
    });
    this.destroyStream = () => stream.destroy();
    this.signal.addEventListener('abort', this.onAbort, { once: true });
    stream.on('response', (response: { statusCode: number }) => {
      this.status = response.statusCode;
      this.restartInactivityLimit(this.limits.gapMs);
      this.restartEventLimit();
    });
    stream.on('data', (part: Buffer) => this.onData(part));
    stream.on('end', () => this.onEnd());
    stream.on('error', (error: Error) => this.onError(error));
    this.restartInactivityLimit(this.limits.headersMs);
  }

  private readonly onAbort = (): void => this.finish(EngineEndKind.cancelled, 'the call was cancelled');

  private onData(part: Buffer): void {
    this.restartInactivityLimit(this.limits.gapMs);
    const text = this.decoder.write(part);
    if (this.status === HTTP_OK) this.parser.feed(text);
    else this.refusal += text;
  }

  private onEnd(): void {
    if (this.status !== HTTP_OK) this.onRefusal();
    else this.finish(EngineEndKind.broken, 'the stream ended before the [DONE] event');
  }

  private onEvent(data: string): void {
    if (data === '[DONE]') {
      this.finish(EngineEndKind.completed, '');
      return;
    }
    if (this.settled) return;
    this.restartEventLimit();
    const event = parseStreamEvent(data);
    if (event) this.onChunk(event);
    else this.finish(EngineEndKind.broken, 'the upstream sent a malformed event');
  }

  private onRefusal(): void {
    const body = parseRefusal(this.refusal);
    const kind = END_KIND_BY_CODE[body.code ?? ''] ?? EngineEndKind.broken;
    const detail = body.detail ?? `the upstream responded with status ${String(this.status)}`;
    this.finish(kind, detail, body.run !== 'not_run');
  }

  private onError(error: Error): void {
    if (isNotSent(error)) this.finish(EngineEndKind.notConnected, error.message, false);
    else this.finish(EngineEndKind.broken, error.message);
  }

  private restartInactivityLimit(limitMs: number): void {
    this.inactivityLimit?.clear();
    this.inactivityLimit = new WaitLimit(limitMs, () => {
      this.replaceConnections();
      this.finish(EngineEndKind.silent, `the upstream sent nothing for ${String(limitMs)} ms`);
    });
  }

  /** Ends a stream that sends bytes now and then but completes no event. */
  private restartEventLimit(): void {
    this.eventLimit?.clear();
    const limitMs = this.limits.gapMs * EVENT_GAP_FACTOR;
    this.eventLimit = new WaitLimit(limitMs, () =>
      this.finish(EngineEndKind.broken, `the upstream completed no event in ${String(limitMs)} ms`),
    );
  }

  private finish(kind: EngineEndKind, detail: string, sent = true): void {
    if (this.settled) return;
    this.settled = true;
    this.inactivityLimit?.clear();
    this.eventLimit?.clear();
    this.signal.removeEventListener('abort', this.onAbort);
    if (kind !== EngineEndKind.completed) this.destroyStream();
    this.resolve({ kind, detail, sent });
  }
}

function requestBody(call: EngineCall): Record<string, unknown> {
  return {
    model: call.model,
    prompt: call.prompt,
    max_tokens: call.maxTokens,
    stream: true,
    request_id: call.requestId,
    attempt_id: call.attemptId,
    organisation: call.organisation,
    resume_from_token: call.fromToken,
    fencing_scope: call.fencing?.scope,
    fencing_number: call.fencing?.epoch,
  };
}

const loadSchema = z.object({
  running: z.number(),
  waiting: z.number(),
  maxConcurrency: z.number(),
  leaving: z.boolean().default(false),
  cachedPrefixes: z.array(z.string()).default([]),
  models: z.array(z.string()).default([]),
});

const streamEventSchema = z.object({
  id: z.string(),
  attempt_id: z.string(),
  token_index: z.number(),
  choices: z.array(z.object({ text: z.string().optional() })),
});

/** The chunk that an event holds, or undefined when the event is malformed. */
function parseStreamEvent(data: string): EngineChunk | undefined {
  const parsed = streamEventSchema.safeParse(parseJson(data));
  if (!parsed.success) return undefined;
  const { id, attempt_id: attemptId, token_index: tokenIndex, choices } = parsed.data;
  return { requestId: id, attemptId, tokenIndex, text: choices[0]?.text ?? '' };
}

function parseRefusal(text: string): RefusalBody {
  try {
    return JSON.parse(text) as RefusalBody;
  } catch {
    return {};
  }
}
