/** The callers' API for completions and plain services. */
import type { Clock, Metrics, Outcome, Problem } from '@fighub/core';
import {
  ProblemStatus,
  RunClaim,
  digest,
  fail,
  mayHaveRun,
  newId,
  notRun,
  ok,
  problemDocument,
} from '@fighub/core';
import type { PlainService, Versioned } from '@fighub/outside';

import type { CompletionRequest } from './completion-request.js';
import { checkCompletion, streamEvent, wholeAnswer } from './completion-request.js';
import type { CompletionEnd, CompletionRunner } from './completion-runner.js';
import { CompletionKind } from './completion-runner.js';
import type { Caller, Request, Response } from '../ingress/http-kit.js';
import { readBody, readJson, sendJson, sendProblem, textHeader, unixMsHeader } from '../ingress/http-kit.js';
import type { KeptAnswer, OnceRecord, OnceRecords } from './once-records.js';
import type { TableStore } from '../table/table-store.js';

/** Headers that change how a request is run. */
interface RequestOptions {
  readonly idempotencyKey?: string;
  readonly deadlineUnixMs: number;
  readonly idempotent: boolean;
}

interface OnlineRequest {
  readonly requestId: string;
  readonly caller: Caller;
  readonly completion: CompletionRequest;
  readonly options: RequestOptions;
  readonly res: Response;
  readonly signal: AbortSignal;
}

const MAX_KEY_LENGTH = 200;
const SERVICE_PATH = /^[\w./-]{0,200}$/;
const RANDOM_START = (): number => Math.floor(Math.random() * 1_000_003);

/** Owns each request until its answer is whole. */
export class Gateway {
  private open = 0;
  private draining = false;
  private serviceTurn = RANDOM_START();

  constructor(
    private readonly table: TableStore,
    private readonly runner: CompletionRunner,
    private readonly services: PlainService,
    private readonly once: OnceRecords,
    private readonly maxBodyBytes: number,
    private readonly clock: Clock,
    private readonly metrics: Metrics,
  ) {}

  /** Requests whose answers are not whole yet. */
  get openRequests(): number {
    return this.open;
  }

  /** Refuses new requests from now on; a balancer that still sends some gets a true "not run". */
  startDraining(): void {
    this.draining = true;
  }

  /** Handles a completion request. */
  async complete(req: Request, res: Response, caller: Caller, chat: boolean): Promise<void> {
    await this.counted(res, async () => {
      const body = await readJson(req, this.maxBodyBytes);
      const request = body.ok ? this.checkRequest(req, caller, body.value, chat) : body;
      if (!request.ok) return this.refuse(res, request.error);
      const gone = new AbortController();
      res.on('close', () => gone.abort());
      const online = { ...request.value, res, signal: gone.signal, requestId: newId('req'), caller };
      const keyed = !online.options.idempotent && online.options.idempotencyKey !== undefined;
      if (keyed) return this.completeOnce(online, JSON.stringify(body.ok && body.value));
      return this.completeDirectly(online);
    });
  }

  /** Handles a call to a plain service. */
  async callService(
    req: Request,
    res: Response,
    caller: Caller,
    service: string,
    path: string,
  ): Promise<void> {
    await this.counted(res, async () => {
      const row = this.table.view.service(service);
      if (!row) return this.refuse(res, notRun('unknown_service', `there is no service ${service}`));
      if (!SERVICE_PATH.test(path) || path.includes('..'))
        return this.refuse(res, notRun('bad_request', 'the path is not valid'));
      const options = this.options(req, row.deadlineMs, row.idempotent);
      const body = await readBody(req, this.maxBodyBytes);
      if (!options.ok) return this.refuse(res, options.error);
      if (!body.ok) return this.refuse(res, body.error);
      const call = {
        service,
        path,
        body: body.value,
        contentType: req.headers['content-type'] ?? 'application/json',
        requestId: newId('req'),
        deadlineUnixMs: options.value.deadlineUnixMs,
        idempotent: options.value.idempotent,
      };
      const key = options.value.idempotencyKey;
      if (key === undefined || call.idempotent) return sendAnswer(res, toAnswer(await this.runService(call)));
      const opened = await this.once.open(caller.organisation, key, digest(service, path, call.body));
      if (!opened.ok) return this.refuse(res, opened.error);
      if ('answer' in opened.value) return sendAnswer(res, opened.value.answer);
      const outcome = await this.runService(call);
      await this.keep(opened.value.run, outcome);
      sendAnswer(res, toAnswer(outcome));
    });
  }

  private async counted(res: Response, work: () => Promise<void>): Promise<void> {
    if (this.draining) {
      res.setHeader('Connection', 'close');
      this.refuse(res, notRun('draining', 'this instance is leaving; ask another', 1_000));
      return;
    }
    this.open += 1;
    this.metrics.count('requests');
    try {
      await work();
    } finally {
      this.open -= 1;
    }
  }

  private checkRequest(
    req: Request,
    caller: Caller,
    body: unknown,
    chat: boolean,
  ): Outcome<{ completion: CompletionRequest; options: RequestOptions }, Problem> {
    const maxTokensOf = (name: string): number | undefined => this.table.view.model(name)?.maxTokens;
    const completion = checkCompletion(body, chat, maxTokensOf);
    if (!completion.ok) return completion;
    const model = this.table.view.model(completion.value.model);
    if (!model) return fail(notRun('unknown_model', `there is no model ${completion.value.model}`));
    if (completion.value.maxTokens > model.maxTokens) {
      return fail(notRun('bad_request', `max_tokens is over ${String(model.maxTokens)}`));
    }
    const share = this.table.view.share(caller.organisation, completion.value.model);
    const options = this.options(req, share.deadlineMs ?? model.deadlineMs, model.idempotent);
    return options.ok ? ok({ completion: completion.value, options: options.value }) : options;
  }

  private options(req: Request, deadlineMs: number, idempotent: boolean): Outcome<RequestOptions, Problem> {
    const key = textHeader(req, 'idempotency-key', MAX_KEY_LENGTH);
    if (!key.ok) return key;
    const deadline = unixMsHeader(req, 'fighub-deadline-unix-ms');
    if (!deadline.ok) return deadline;
    const stated = textHeader(req, 'fighub-idempotent', 5);
    if (!stated.ok) return stated;
    if (stated.value !== undefined && stated.value !== 'true' && stated.value !== 'false') {
      return fail(notRun('bad_header', 'the header fighub-idempotent must be true or false'));
    }
    return ok({
      idempotencyKey: key.value,
      deadlineUnixMs: deadline.value ?? this.clock.nowUnixMs() + deadlineMs,
      idempotent: idempotent && stated.value !== 'false',
    });
  }

  private async completeDirectly(request: OnlineRequest): Promise<void> {
    const end = await this.runCompletion(request, request.completion.stream);
    this.answer(request, end);
  }

  private async completeOnce(request: OnlineRequest, bodyText: string): Promise<void> {
    const key = request.options.idempotencyKey ?? '';
    const opened = await this.once.open(request.caller.organisation, key, digest(bodyText));
    if (!opened.ok) return this.refuse(request.res, opened.error);
    if ('answer' in opened.value) return this.repeat(request, opened.value.answer);
    // The caller may go away: the run goes on, since a resend will ask for its outcome.
    const end = await this.runCompletion(
      { ...request, signal: new AbortController().signal },
      request.completion.stream,
    );
    await this.keep(opened.value.run, this.toOutcome(request, end));
    this.answer(request, end);
  }

  private runCompletion(request: OnlineRequest, stream: boolean): Promise<CompletionEnd> {
    const { completion, options, res } = request;
    const startedMs = this.clock.monotonicMs();
    let first = true;
    const onToken = (text: string): void => {
      if (first) this.metrics.sample('first_token_ms', this.clock.monotonicMs() - startedMs);
      first = false;
      if (!stream || res.destroyed) return;
      if (!res.headersSent) startStream(res, request.requestId);
      res.write(streamEvent(request.requestId, completion, text, false));
    };
    return this.runner.run(
      {
        requestId: request.requestId,
        organisation: request.caller.organisation,
        model: completion.model,
        prompt: completion.prompt,
        maxTokens: completion.maxTokens,
        deadlineUnixMs: options.deadlineUnixMs,
        workClass: 'online',
        idempotent: options.idempotent,
        alone: false,
        tokensSoFar: [],
        onToken,
      },
      request.signal,
    );
  }

  private answer(request: OnlineRequest, end: CompletionEnd): void {
    const { res, completion, requestId } = request;
    if (end.kind === CompletionKind.cancelled || res.destroyed) {
      this.metrics.count('callers_gone');
      res.end();
      return;
    }
    if (end.kind !== CompletionKind.completed) {
      this.refuse(res, end.problem ?? notRun('internal', 'no answer'));
      return;
    }
    this.metrics.count('requests_completed');
    if (!completion.stream) {
      sendJson(res, 200, wholeAnswer(requestId, completion, end.tokens), { 'Fighub-Request-Id': requestId });
      return;
    }
    if (!res.headersSent) startStream(res, requestId);
    res.write(streamEvent(requestId, completion, '', true));
    res.end('data: [DONE]\n\n');
  }

  private repeat(request: OnlineRequest, kept: KeptAnswer): void {
    if (!request.completion.stream || kept.status !== 200) {
      sendAnswer(request.res, kept);
      return;
    }
    const document = JSON.parse(kept.body) as {
      id: string;
      choices: { text?: string; message?: { content: string } }[];
    };
    const text = document.choices[0]?.text ?? document.choices[0]?.message?.content ?? '';
    startStream(request.res, document.id);
    request.res.write(streamEvent(document.id, request.completion, text, false));
    request.res.write(streamEvent(document.id, request.completion, '', true));
    request.res.end('data: [DONE]\n\n');
  }

  private toOutcome(request: OnlineRequest, end: CompletionEnd): Outcome<KeptAnswer, Problem> {
    if (end.kind !== CompletionKind.completed) return fail(end.problem ?? notRun('internal', 'no answer'));
    const body = JSON.stringify(wholeAnswer(request.requestId, request.completion, end.tokens));
    return ok({ status: 200, contentType: 'application/json', body });
  }

  private async keep(record: Versioned<OnceRecord>, outcome: Outcome<KeptAnswer, Problem>): Promise<void> {
    if (!outcome.ok && outcome.error.run === RunClaim.notRun) await this.once.endNotRun(record);
    else await this.once.end(record, toAnswer(outcome));
  }

  /** Tries addresses in turn as long as nothing was sent. */
  private async runService(call: ServiceRequest): Promise<Outcome<KeptAnswer, Problem>> {
    const upstreams = this.table.view.upstreamsOf(call.service);
    if (upstreams.length === 0)
      return fail(notRun('no_upstream', `no upstream serves ${call.service}`, 1_000));
    this.serviceTurn += 1;
    const ordered = upstreams.map((_, index) => upstreams[(index + this.serviceTurn) % upstreams.length]);
    let everSent = false;
    for (const upstream of ordered) {
      const timeoutMs = call.deadlineUnixMs - this.clock.nowUnixMs();
      if (!upstream || timeoutMs <= 0) break;
      const answer = await this.services.call({ ...call, address: upstream.address, timeoutMs });
      if (answer.status !== undefined) {
        return ok({ status: answer.status, contentType: answer.contentType, body: answer.body });
      }
      everSent ||= answer.sent;
      if (everSent && !call.idempotent) break;
    }
    if (everSent) return fail(mayHaveRun('upstream_failed', `the answer of ${call.service} was lost`));
    return fail(notRun('upstream_failed', `no upstream of ${call.service} could be reached`, 1_000));
  }

  /** After a stream has begun, the problem is sent as its last event. */
  private refuse(res: Response, problem: Problem): void {
    this.metrics.count('requests_refused', 1, [problem.code]);
    if (!res.headersSent) {
      sendProblem(res, problem);
      return;
    }
    res.end(`event: error\ndata: ${JSON.stringify(problemDocument(problem))}\n\n`);
  }
}

interface ServiceRequest {
  readonly service: string;
  readonly path: string;
  readonly body: string;
  readonly contentType: string;
  readonly requestId: string;
  readonly deadlineUnixMs: number;
  readonly idempotent: boolean;
}

function startStream(res: Response, requestId: string): void {
  res.writeHead(200, {
    'Content-Type': 'text/event-stream',
    'Cache-Control': 'no-store',
    'Fighub-Request-Id': requestId,
  });
}

function toAnswer(outcome: Outcome<KeptAnswer, Problem>): KeptAnswer {
  if (outcome.ok) return outcome.value;
  const body = JSON.stringify(problemDocument(outcome.error));
  return { status: ProblemStatus[outcome.error.code], contentType: 'application/problem+json', body };
}

function sendAnswer(res: Response, answer: KeptAnswer): void {
  res.writeHead(answer.status, { 'Content-Type': answer.contentType });
  res.end(answer.body);
}
