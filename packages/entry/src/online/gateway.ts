/** HTTP handlers with which callers request completions and call plain services. */
import type { Clock, Metrics, Outcome, Problem } from '@fighub/core';
import {
  ProblemStatus,
  ExecutionStatus,
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
import { checkCompletion, streamEvent, completionDocument } from './completion-request.js';
import type { CompletionEnd, CompletionRunner } from './completion-runner.js';
import { CompletionKind } from './completion-runner.js';
import type { Caller, Request, Response } from '../ingress/http-helpers.js';
import {
  readBody,
  readJson,
  sendJson,
  sendProblem,
  textHeader,
  unixMsHeader,
} from '../ingress/http-helpers.js';
import type { StoredResponse, IdempotencyRecord, IdempotencyRecords } from './idempotency-records.js';
import type { TableStore } from '../table/table-store.js';

/** How a request is run: its headers, with the defaults of its model or service. */
interface RequestOptions {
  readonly idempotencyKey?: string;
  readonly deadlineUnixMs: number;
  /** Whether the request may be sent again after an upstream may have run it. */
  readonly idempotent: boolean;
}

/** A completion request that is being handled. */
interface OnlineRequest {
  readonly requestId: string;
  readonly caller: Caller;
  readonly completion: CompletionRequest;
  readonly options: RequestOptions;
  readonly res: Response;
  /** Aborted when the run is no longer wanted. */
  readonly signal: AbortSignal;
}

const MAX_IDEMPOTENCY_KEY_CHARACTERS = 200;
const SERVICE_PATH_PATTERN = /^[\w./-]{0,200}$/;
const randomStartIndex = (): number => Math.floor(Math.random() * 1_000_003);

/** Handles the requests of callers and counts those in progress. */
export class Gateway {
  private open = 0;
  private draining = false;
  /** Round-robin position for services. It starts at random, so that instances begin at different upstreams. */
  private roundRobinIndex = randomStartIndex();

  constructor(
    private readonly table: TableStore,
    private readonly runner: CompletionRunner,
    private readonly services: PlainService,
    private readonly once: IdempotencyRecords,
    private readonly maxBodyBytes: number,
    private readonly clock: Clock,
    private readonly metrics: Metrics,
  ) {}

  /** Number of requests whose response is not complete. */
  get openRequests(): number {
    return this.open;
  }

  /**
   * Refuses new requests from now on. The response says that the request was not run, so that a load balancer can
   * safely send it to another instance.
   */
  startDraining(): void {
    this.draining = true;
  }

  /** Handles a completion request, in the chat format if `chat` is set. */
  async complete(req: Request, res: Response, caller: Caller, chat: boolean): Promise<void> {
    await this.runUnlessDraining(res, async () => {
      const body = await readJson(req, this.maxBodyBytes);
      const request = body.ok ? this.checkRequest(req, caller, body.value, chat) : body;
      if (!request.ok) return this.refuse(res, request.error);
      const disconnected = new AbortController();
      res.on('close', () => disconnected.abort());
      const online = { ...request.value, res, signal: disconnected.signal, requestId: newId('req'), caller };
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
    await this.runUnlessDraining(res, async () => {
      const row = this.table.view.service(service);
      if (!row) return this.refuse(res, notRun('unknown_service', `there is no service ${service}`));
      if (!SERVICE_PATH_PATTERN.test(path) || path.includes('..'))
        return this.refuse(
          res,
          notRun(
            'bad_request',
            'the service path is too long, contains "..", or has characters other than letters, digits and _ . / -',
          ),
        );
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
      if (key === undefined || call.idempotent)
        return sendStoredResponse(res, toStoredResponse(await this.runService(call)));
      const opened = await this.once.open(caller.organisation, key, digest(service, path, call.body));
      if (!opened.ok) return this.refuse(res, opened.error);
      if ('answer' in opened.value) return sendStoredResponse(res, opened.value.answer);
      const outcome = await this.runService(call);
      await this.keep(opened.value.run, outcome);
      sendStoredResponse(res, toStoredResponse(outcome));
    });
  }

  /** Runs `work` and counts it as a request in progress, or refuses the request when the instance is draining. */
  private async runUnlessDraining(res: Response, work: () => Promise<void>): Promise<void> {
    if (this.draining) {
      res.setHeader('Connection', 'close');
      this.refuse(
        res,
        notRun('draining', 'this instance is draining; send the request to another instance', 1_000),
      );
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
      return fail(
        notRun('bad_request', `max_tokens exceeds the limit of ${String(model.maxTokens)} of the model`),
      );
    }
    const share = this.table.view.share(caller.organisation, completion.value.model);
    const options = this.options(req, share.deadlineMs ?? model.deadlineMs, model.idempotent);
    return options.ok ? ok({ completion: completion.value, options: options.value }) : options;
  }

  /** Reads the headers that determine how a request is run; `deadlineMs` and `idempotent` are the defaults. */
  private options(req: Request, deadlineMs: number, idempotent: boolean): Outcome<RequestOptions, Problem> {
    const key = textHeader(req, 'idempotency-key', MAX_IDEMPOTENCY_KEY_CHARACTERS);
    if (!key.ok) return key;
    const deadline = unixMsHeader(req, 'fighub-deadline-unix-ms');
    if (!deadline.ok) return deadline;
    const idempotentHeader = textHeader(req, 'fighub-idempotent', 5);
    if (!idempotentHeader.ok) return idempotentHeader;
    if (
      idempotentHeader.value !== undefined &&
      idempotentHeader.value !== 'true' &&
      idempotentHeader.value !== 'false'
    ) {
      return fail(notRun('bad_header', 'the header fighub-idempotent must be true or false'));
    }
    return ok({
      idempotencyKey: key.value,
      deadlineUnixMs: deadline.value ?? this.clock.nowUnixMs() + deadlineMs,
      idempotent: idempotent && idempotentHeader.value !== 'false',
    });
  }

  /** Runs a request without an Idempotency-Key, or one that is idempotent anyway. */
  private async completeDirectly(request: OnlineRequest): Promise<void> {
    const end = await this.runCompletion(request, request.completion.stream);
    this.answer(request, end);
  }

  /** Runs a request with an Idempotency-Key at most once. */
  private async completeOnce(request: OnlineRequest, bodyText: string): Promise<void> {
    const key = request.options.idempotencyKey ?? '';
    const opened = await this.once.open(request.caller.organisation, key, digest(bodyText));
    if (!opened.ok) return this.refuse(request.res, opened.error);
    if ('answer' in opened.value) return this.replay(request, opened.value.answer);
    // The run continues when the caller disconnects, since the caller can request the outcome with the same key.
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
    let isFirstToken = true;
    const onToken = (text: string): void => {
      if (isFirstToken) this.metrics.sample('first_token_ms', this.clock.monotonicMs() - startedMs);
      isFirstToken = false;
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

  /** Sends the result of a completion to its caller. */
  private answer(request: OnlineRequest, end: CompletionEnd): void {
    const { res, completion, requestId } = request;
    if (end.kind === CompletionKind.cancelled || res.destroyed) {
      this.metrics.count('callers_gone');
      res.end();
      return;
    }
    if (end.kind !== CompletionKind.completed) {
      this.refuse(res, end.problem ?? notRun('internal', 'the completion ended without a response'));
      return;
    }
    this.metrics.count('requests_completed');
    if (!completion.stream) {
      sendJson(res, 200, completionDocument(requestId, completion, end.tokens), {
        'Fighub-Request-Id': requestId,
      });
      return;
    }
    if (!res.headersSent) startStream(res, requestId);
    res.write(streamEvent(requestId, completion, '', true));
    res.end('data: [DONE]\n\n');
  }

  /** Sends the stored response of an earlier request, as a stream if the caller asks for one. */
  private replay(request: OnlineRequest, stored: StoredResponse): void {
    if (!request.completion.stream || stored.status !== 200) {
      sendStoredResponse(request.res, stored);
      return;
    }
    const document = JSON.parse(stored.body) as {
      id: string;
      choices: { text?: string; message?: { content: string } }[];
    };
    const text = document.choices[0]?.text ?? document.choices[0]?.message?.content ?? '';
    startStream(request.res, document.id);
    request.res.write(streamEvent(document.id, request.completion, text, false));
    request.res.write(streamEvent(document.id, request.completion, '', true));
    request.res.end('data: [DONE]\n\n');
  }

  private toOutcome(request: OnlineRequest, end: CompletionEnd): Outcome<StoredResponse, Problem> {
    if (end.kind !== CompletionKind.completed)
      return fail(end.problem ?? notRun('internal', 'the completion ended without a response'));
    const body = JSON.stringify(completionDocument(request.requestId, request.completion, end.tokens));
    return ok({ status: 200, contentType: 'application/json', body });
  }

  /** Records the outcome of a request with an Idempotency-Key. */
  private async keep(
    record: Versioned<IdempotencyRecord>,
    outcome: Outcome<StoredResponse, Problem>,
  ): Promise<void> {
    if (!outcome.ok && outcome.error.run === ExecutionStatus.notRun) await this.once.endNotRun(record);
    else await this.once.end(record, toStoredResponse(outcome));
  }

  /**
   * Calls the upstreams of a service, starting at the next one in the round robin, until one responds. A call that is
   * not idempotent is not sent again once any of it may have reached an upstream.
   */
  private async runService(call: ServiceRequest): Promise<Outcome<StoredResponse, Problem>> {
    const upstreams = this.table.view.upstreamsOf(call.service);
    if (upstreams.length === 0)
      return fail(notRun('no_upstream', `no upstream serves ${call.service}`, 1_000));
    this.roundRobinIndex += 1;
    const ordered = upstreams.map((_, index) => upstreams[(index + this.roundRobinIndex) % upstreams.length]);
    let everSent = false;
    for (const upstream of ordered) {
      const timeoutMs = call.deadlineUnixMs - this.clock.nowUnixMs();
      if (!upstream || timeoutMs <= 0) break;
      const response = await this.services.call({ ...call, address: upstream.address, timeoutMs });
      if (response.status !== undefined) {
        return ok({ status: response.status, contentType: response.contentType, body: response.body });
      }
      everSent ||= response.sent;
      if (everSent && !call.idempotent) break;
    }
    if (everSent)
      return fail(
        mayHaveRun(
          'upstream_failed',
          `no complete response from service ${call.service}; the request may have run`,
        ),
      );
    return fail(
      notRun('upstream_failed', `no upstream of ${call.service} could be reached before the deadline`, 1_000),
    );
  }

  /** Sends a problem document, or an error event that ends the stream when the response has already started. */
  private refuse(res: Response, problem: Problem): void {
    this.metrics.count('requests_refused', 1, [problem.code]);
    if (!res.headersSent) {
      sendProblem(res, problem);
      return;
    }
    res.end(`event: error\ndata: ${JSON.stringify(problemDocument(problem))}\n\n`);
  }
}

/** A call to a plain service. */
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

function toStoredResponse(outcome: Outcome<StoredResponse, Problem>): StoredResponse {
  if (outcome.ok) return outcome.value;
  const body = JSON.stringify(problemDocument(outcome.error));
  return { status: ProblemStatus[outcome.error.code], contentType: 'application/problem+json', body };
}

function sendStoredResponse(res: Response, stored: StoredResponse): void {
  res.writeHead(stored.status, { 'Content-Type': stored.contentType });
  res.end(stored.body);
}
