/**
 * Stand-in for a model engine. It generates tokens for all running streams in common steps (continuous
 * batching), starts requests in order of arrival without priorities, and serves load reports that lag behind.
 */
import { appendFileSync } from 'node:fs';
import type { IncomingMessage, ServerResponse } from 'node:http';

import { digest, prefixDigest } from '@fighub/core';
import type { EngineLoad } from '@fighub/outside';

import type { RunningServer } from './http-util.js';
import { readJsonBody, sendJsonBody, serve } from './http-util.js';

/** Settings of the engine stand-in. */
export interface EngineStandinOptions {
  readonly port: number;
  /** Names of the loaded models. Requests for other models are rejected. */
  readonly models: readonly string[];
  /** Maximum number of streams that run at the same time; further ones wait inside the engine. */
  readonly maxConcurrency: number;
  /** Duration of a step with at most one running stream. */
  readonly stepMs: number;
  /** Time that each further running stream adds to a step. */
  readonly stepPerStreamMs: number;
  /** Prefill time of a prompt whose prefix is not cached. */
  readonly prefillMs: number;
  /** Prefill time of a prompt whose prefix is cached. */
  readonly cachedPrefillMs: number;
  /** Size of the prefix cache; the least recently used prefix is evicted. */
  readonly cachedPrefixes: number;
  /** Interval at which the load report is refreshed, and therefore its maximum age. */
  readonly reportLagMs: number;
  /** Whether requests with an outdated fencing number and orders with an outdated sequence number are refused. */
  readonly checksFencing: boolean;
  /** Time that the engine takes to carry out an order. */
  readonly orderMs: number;
  /**
   * File that gets a line of JSON for each received request, so that the record outlives the process. The line is
   * written on receipt, so it does not show how the request ended.
   */
  readonly journalFile?: string;
}

/** Faults of the engine, which can be changed through `/faults` while it runs. */
export interface EngineFaults {
  /** New requests are refused with status 503 and the code `leaving`. */
  leaving: boolean;
  /** Running streams produce no more tokens, but their connections stay open. */
  frozen: boolean;
  /** Factor by which steps and prefill take longer. */
  slowFactor: number;
  /** Probability that a token event is sent twice. */
  doubleProbability: number;
  /** Probability that a token event is followed by an event of another request. */
  crossProbability: number;
}

/** Default settings of the engine stand-in. */
export const ENGINE_DEFAULTS: EngineStandinOptions = {
  port: 0,
  models: ['alert-modely'],
  maxConcurrency: 8,
  stepMs: 20,
  stepPerStreamMs: 0.5,
  prefillMs: 40,
  cachedPrefillMs: 10,
  cachedPrefixes: 64,
  reportLagMs: 500,
  checksFencing: false,
  orderMs: 500,
};

interface OrderBody {
  readonly sequence: number;
}

interface CompletionBody {
  readonly model?: string;
  readonly prompt?: string;
  readonly max_tokens?: number;
  readonly request_id?: string;
  readonly attempt_id?: string;
  readonly organisation?: string;
  readonly resume_from_token?: number;
  readonly fencing_scope?: string;
  readonly fencing_number?: number;
}

interface EngineStream {
  readonly requestId: string;
  readonly attemptId: string;
  readonly prompt: string;
  readonly totalTokens: number;
  readonly res: ServerResponse;
  readonly entry: JournalEntry;
  nextToken: number;
  prefillUntilMs: number;
  closed: boolean;
}

/** Record of one request that the engine received, from which checkers verify what was run. */
export interface JournalEntry {
  readonly requestId: string;
  readonly attemptId: string;
  readonly organisation: string;
  readonly promptDigest: string;
  /** Index of the first token of this attempt; greater than 0 if it resumes an earlier attempt. */
  readonly fromToken: number;
  readonly receivedAtUnixMs: number;
  /** When the prefill began. */
  startedAtUnixMs?: number;
  /** When the last token was sent or the connection closed. */
  endedAtUnixMs?: number;
  /** Number of tokens that were generated in this attempt. */
  tokens: number;
  /** Whether the prefix of the prompt was cached when the prefill began. */
  cached?: boolean;
  /** Error code if the request was refused without running. */
  refusal?: string;
  /** How the stream ended: after its last token, or because its connection closed before that. */
  end?: 'completed' | 'cancelled';
}

/** A prompt that contains this text makes the engine process exit. */
export const CRASH_TEXT = 'CRASH-THE-ENGINE';
/** A prompt that contains this text is rejected with status 422. */
export const REJECT_TEXT = 'REJECT-THIS-ITEM';

/**
 * Starts the engine stand-in. It serves `/v1/completions`, `/load` and `/orders` as an engine does, and
 * `/journal` and `/faults` for tests.
 */
export async function startEngineStandin(options: EngineStandinOptions): Promise<RunningServer> {
  const standin = new EngineStandin(options);
  standin.start();
  return serve(options.port, (req, res) => void standin.handle(req, res));
}

/** Returns the text of token `index` of the completion of `prompt`. It is the same at every replica. */
export function tokenText(prompt: string, index: number): string {
  return `w${digest(prompt, String(index)).slice(0, 4)} `;
}

/** Returns the digest that identifies a prompt in journals. */
export function promptDigest(prompt: string): string {
  return digest(prompt).slice(0, 12);
}

class EngineStandin {
  private running: EngineStream[] = [];
  private waiting: EngineStream[] = [];
  private readonly prefixes = new Map<string, true>();
  private readonly highestFencingNumbers = new Map<string, number>();
  private readonly journal: JournalEntry[] = [];
  private readonly faults: EngineFaults = {
    leaving: false,
    frozen: false,
    slowFactor: 1,
    doubleProbability: 0,
    crossProbability: 0,
  };
  private lastSequence = 0;
  private report: EngineLoad;

  constructor(private readonly options: EngineStandinOptions) {
    this.report = this.loadNow();
  }

  start(): void {
    setInterval(() => (this.report = this.loadNow()), this.options.reportLagMs).unref();
    this.scheduleStep();
  }

  async handle(req: IncomingMessage, res: ServerResponse): Promise<void> {
    const path = (req.url ?? '').split('?')[0];
    if (path === '/v1/completions') this.complete(await readJsonBody<CompletionBody>(req), res);
    else if (path === '/load') sendJsonBody(res, 200, this.report);
    else if (path === '/orders' && req.method === 'POST')
      await this.carryOutOrder(await readJsonBody<OrderBody>(req), res);
    else if (path === '/orders') sendJsonBody(res, 200, { lastSequence: this.lastSequence });
    else if (path === '/journal') sendJsonBody(res, 200, this.journal);
    else if (path === '/faults') {
      Object.assign(this.faults, await readJsonBody<Partial<EngineFaults>>(req));
      sendJsonBody(res, 200, this.faults);
    } else sendJsonBody(res, 404, { code: 'not_found' });
  }

  /** Carries out an order of an operator. New requests are refused as `leaving` until it is done. */
  private async carryOutOrder(body: OrderBody, res: ServerResponse): Promise<void> {
    if (this.options.checksFencing && body.sequence <= this.lastSequence) {
      sendJsonBody(res, 409, { code: 'fenced', run: 'not_run', detail: 'a newer order was carried out' });
      return;
    }
    this.faults.leaving = true;
    await new Promise((resolve) => setTimeout(resolve, this.options.orderMs));
    this.faults.leaving = false;
    this.lastSequence = body.sequence;
    sendJsonBody(res, 200, { lastSequence: this.lastSequence });
  }

  private complete(body: CompletionBody, res: ServerResponse): void {
    const prompt = body.prompt ?? '';
    const refusal = this.refusalOf(body, prompt);
    const entry = this.recordRequest(body, prompt, refusal?.code);
    if (refusal) {
      sendJsonBody(res, refusal.status, { code: refusal.code, run: 'not_run', detail: refusal.detail });
      return;
    }
    const stream: EngineStream = {
      requestId: entry.requestId,
      attemptId: entry.attemptId,
      prompt,
      totalTokens: body.max_tokens ?? 16,
      res,
      entry,
      nextToken: entry.fromToken,
      prefillUntilMs: 0,
      closed: false,
    };
    res.on('close', () => this.onClosed(stream));
    res.writeHead(200, { 'Content-Type': 'text/event-stream' });
    res.flushHeaders();
    this.waiting.push(stream);
    this.admit();
  }

  private recordRequest(body: CompletionBody, prompt: string, refusal: string | undefined): JournalEntry {
    const entry: JournalEntry = {
      requestId: body.request_id ?? '',
      attemptId: body.attempt_id ?? '',
      organisation: body.organisation ?? '',
      promptDigest: promptDigest(prompt),
      fromToken: body.resume_from_token ?? 0,
      receivedAtUnixMs: Date.now(),
      tokens: 0,
      refusal,
    };
    this.journal.push(entry);
    if (this.options.journalFile !== undefined) {
      appendFileSync(this.options.journalFile, `${JSON.stringify(entry)}\n`);
    }
    return entry;
  }

  private refusalOf(
    body: CompletionBody,
    prompt: string,
  ): { status: number; code: string; detail: string } | undefined {
    if (this.faults.leaving) return { status: 503, code: 'leaving', detail: 'this replica is leaving' };
    if (prompt.includes(REJECT_TEXT))
      return { status: 422, code: 'rejected', detail: 'the prompt cannot be processed' };
    if (!this.options.models.includes(body.model ?? '')) {
      return { status: 422, code: 'rejected', detail: `the model ${body.model ?? ''} is not loaded` };
    }
    if (!this.options.checksFencing || body.fencing_scope === undefined) return undefined;
    const highest = this.highestFencingNumbers.get(body.fencing_scope) ?? 0;
    if ((body.fencing_number ?? 0) < highest)
      return { status: 409, code: 'fenced', detail: 'the fencing number is outdated' };
    this.highestFencingNumbers.set(body.fencing_scope, body.fencing_number ?? 0);
    return undefined;
  }

  private onClosed(stream: EngineStream): void {
    stream.closed = true;
    stream.entry.endedAtUnixMs ??= Date.now();
    stream.entry.end ??= 'cancelled';
    this.running = this.running.filter((other) => other !== stream);
    this.waiting = this.waiting.filter((other) => other !== stream);
    this.admit();
  }

  private admit(): void {
    while (this.running.length < this.options.maxConcurrency) {
      const stream = this.waiting.shift();
      if (!stream) return;
      const prefix = prefixDigest(this.options.models[0] ?? '', stream.prompt);
      const cached = this.prefixes.has(prefix);
      this.cachePrefix(prefix);
      const prefillMs = cached ? this.options.cachedPrefillMs : this.options.prefillMs;
      stream.prefillUntilMs = performance.now() + prefillMs * this.faults.slowFactor;
      stream.entry.startedAtUnixMs = Date.now();
      stream.entry.cached = cached;
      this.running.push(stream);
    }
  }

  private cachePrefix(prefix: string): void {
    this.prefixes.delete(prefix);
    this.prefixes.set(prefix, true);
    const oldest = this.prefixes.keys().next();
    if (this.prefixes.size > this.options.cachedPrefixes && !oldest.done) this.prefixes.delete(oldest.value);
  }

  private scheduleStep(): void {
    const others = Math.max(0, this.running.length - 1);
    const lengthMs = (this.options.stepMs + this.options.stepPerStreamMs * others) * this.faults.slowFactor;
    setTimeout(() => {
      if (!this.faults.frozen) this.step();
      this.scheduleStep();
    }, lengthMs);
  }

  private step(): void {
    const nowMs = performance.now();
    this.running
      .filter((stream) => stream.prefillUntilMs <= nowMs)
      .forEach((stream) => this.emitToken(stream));
    this.running
      .filter((stream) => stream.nextToken >= stream.totalTokens)
      .forEach((stream) => this.finish(stream));
  }

  private emitToken(stream: EngineStream): void {
    if (stream.prompt.includes(CRASH_TEXT)) process.exit(17);
    const event = {
      id: stream.requestId,
      attempt_id: stream.attemptId,
      token_index: stream.nextToken,
      choices: [{ text: tokenText(stream.prompt, stream.nextToken) }],
    };
    stream.nextToken += 1;
    stream.entry.tokens += 1;
    stream.res.write(`data: ${JSON.stringify(event)}\n\n`);
    if (Math.random() < this.faults.doubleProbability) stream.res.write(`data: ${JSON.stringify(event)}\n\n`);
    if (Math.random() < this.faults.crossProbability) {
      const crossed = { ...event, id: 'req-of-someone-else', choices: [{ text: 'CROSSED' }] };
      stream.res.write(`data: ${JSON.stringify(crossed)}\n\n`);
    }
  }

  private finish(stream: EngineStream): void {
    stream.entry.end = 'completed';
    stream.entry.endedAtUnixMs = Date.now();
    stream.res.end('data: [DONE]\n\n');
    this.running = this.running.filter((other) => other !== stream);
    this.admit();
  }

  private loadNow(): EngineLoad {
    return {
      running: this.running.length,
      waiting: this.waiting.length,
      maxConcurrency: this.options.maxConcurrency,
      leaving: this.faults.leaving,
      cachedPrefixes: [...this.prefixes.keys()],
      models: this.options.models,
    };
  }
}
