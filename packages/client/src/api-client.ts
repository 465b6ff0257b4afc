/** A client of the callers' and the operators' HTTP interface. */
import { Readable } from 'node:stream';

import type { ItemResult, Outcome, StoredRow } from '@fighub/core';
import { fail, ok } from '@fighub/core';
import { createParser } from 'eventsource-parser';
import got from 'got';

/** A failed call: a problem document of the server, or no answer at all. */
export interface ApiError {
  /** 0 when there was no answer. */
  readonly status: number;
  readonly code: string;
  readonly detail: string;
  /** `not_run`, `may_have_run`, or undefined when the server did not say. */
  readonly run?: string;
  readonly retryAfterMs?: number;
  readonly present?: StoredRow | null;
}

/** A completion that is asked for. */
export interface CompletionCall {
  readonly model: string;
  readonly prompt: string;
  readonly maxTokens: number;
  readonly idempotencyKey?: string;
  readonly idempotent?: boolean;
  readonly deadlineUnixMs?: number;
}

/** A streamed answer with its times in milliseconds. */
export interface StreamedAnswer {
  readonly requestId: string;
  readonly text: string;
  readonly tokens: number;
  readonly firstTokenMs: number;
  readonly totalMs: number;
}

/** State of a job as the server shows it. */
export interface JobView {
  readonly jobId: string;
  readonly state: string;
  readonly itemCount: number;
  readonly doneCount: number;
  readonly failedCount: number;
  readonly expectedEndUnixMs?: number;
  readonly late: boolean;
}

/** A job that is offered. */
export interface JobCall {
  readonly model: string;
  readonly lines: Iterable<string>;
  readonly idempotencyKey?: string;
  readonly dueAtUnixMs?: number;
  readonly idempotent?: boolean;
}

/** A page of results. */
export interface ResultsPage {
  readonly results: readonly ItemResult[];
  readonly nextCursor?: string;
}

/** A key that was made. */
export interface NewKey {
  readonly organisation: string;
  readonly key: string;
  readonly keyHash: string;
}

interface StreamEventBody {
  readonly id: string;
  readonly choices: readonly { readonly text?: string; readonly finish_reason?: string | null }[];
}

const CALL_TIMEOUT_MS = 30_000;

/** Calls one instance with one key. */
export class ApiClient {
  constructor(
    private readonly address: string,
    private readonly key: string,
  ) {}

  /** Streams a completion. `onToken` gets each text as it comes. */
  async stream(
    call: CompletionCall,
    onToken: (text: string) => void = () => undefined,
    signal?: AbortSignal,
  ): Promise<Outcome<StreamedAnswer, ApiError>> {
    const startedMs = performance.now();
    const stream = got.stream.post(`${this.address}/v1/completions`, {
      ...this.options(callHeaders(call)),
      json: { model: call.model, prompt: call.prompt, max_tokens: call.maxTokens, stream: true },
      signal,
    });
    const reader = new AnswerReader(startedMs, onToken);
    try {
      let status = 0;
      let problemText = '';
      stream.on('response', (response: { statusCode: number }) => (status = response.statusCode));
      for await (const part of stream as AsyncIterable<Buffer>) {
        if (status === 200) reader.feed(part.toString('utf8'));
        else problemText += part.toString('utf8');
      }
      return status === 200 ? reader.end() : fail(problemOf(status, problemText));
    } catch (error) {
      return fail(noAnswer(error));
    }
  }

  /** Asks for a whole completion. */
  async complete(call: CompletionCall): Promise<Outcome<{ id: string; text: string }, ApiError>> {
    const body = { model: call.model, prompt: call.prompt, max_tokens: call.maxTokens };
    const answer = await this.post<{ id: string; choices: { text: string }[] }>(
      '/v1/completions',
      body,
      callHeaders(call),
    );
    return answer.ok ? ok({ id: answer.value.id, text: answer.value.choices[0]?.text ?? '' }) : answer;
  }

  /** Calls a plain service. */
  callService(
    service: string,
    path: string,
    body: unknown,
    idempotencyKey?: string,
  ): Promise<Outcome<unknown, ApiError>> {
    return this.post(`/v1/services/${service}/${path}`, body, keyHeader(idempotencyKey));
  }

  /** Sends a job of JSON Lines. */
  async createJob(call: JobCall): Promise<Outcome<JobView, ApiError>> {
    const query = new URLSearchParams({ model: call.model });
    if (call.dueAtUnixMs !== undefined) query.set('dueAtUnixMs', String(call.dueAtUnixMs));
    if (call.idempotent === false) query.set('idempotent', 'false');
    const headers = { 'content-type': 'application/jsonl', ...keyHeader(call.idempotencyKey) };
    return this.call<JobView>(
      'post',
      `/v1/jobs?${query.toString()}`,
      headers,
      Readable.from(withNewlines(call.lines)),
    );
  }

  job(jobId: string): Promise<Outcome<JobView, ApiError>> {
    return this.call('get', `/v1/jobs/${jobId}`);
  }

  cancelJob(jobId: string): Promise<Outcome<JobView, ApiError>> {
    return this.call('post', `/v1/jobs/${jobId}/cancel`);
  }

  listJobs(): Promise<Outcome<unknown, ApiError>> {
    return this.call('get', '/admin/v1/jobs');
  }

  /** One page of results. */
  async results(jobId: string, cursor: string): Promise<Outcome<ResultsPage, ApiError>> {
    try {
      const answer = await got(`${this.address}/v1/jobs/${jobId}/results?cursor=${cursor}`, this.options({}));
      if (answer.statusCode !== 200) return fail(problemOf(answer.statusCode, answer.body));
      const lines = answer.body.split('\n').filter((line) => line !== '');
      const nextCursor = answer.headers['fighub-next-cursor'];
      return ok({
        results: lines.map((line) => JSON.parse(line) as ItemResult),
        nextCursor: typeof nextCursor === 'string' ? nextCursor : undefined,
      });
    } catch (error) {
      return fail(noAnswer(error));
    }
  }

  /** All results that can be read now. */
  async allResults(jobId: string): Promise<Outcome<ItemResult[], ApiError>> {
    const collected: ItemResult[] = [];
    let cursor: string | undefined = '0.0';
    while (cursor !== undefined) {
      const page: Outcome<ResultsPage, ApiError> = await this.results(jobId, cursor);
      if (!page.ok) return page;
      collected.push(...page.value.results);
      if (page.value.nextCursor === cursor) break;
      cursor = page.value.nextCursor;
    }
    return ok(collected);
  }

  /** Rows of the operators' table. */
  table(): Promise<Outcome<{ revisions: number[]; rows: StoredRow[] }, ApiError>> {
    return this.call('get', '/admin/v1/table');
  }

  row(key: string): Promise<Outcome<StoredRow, ApiError>> {
    return this.call('get', `/admin/v1/table/rows/${key}`);
  }

  /** Earlier versions of a row, the newest first. */
  rowHistory(key: string): Promise<Outcome<StoredRow[], ApiError>> {
    return this.call('get', `/admin/v1/table/history/${key}`);
  }

  /** Changes a row. `expectedRevision` 0 asks for a new row, undefined for any. */
  putRow(key: string, value: unknown, expectedRevision?: number): Promise<Outcome<StoredRow, ApiError>> {
    const body = JSON.stringify(value);
    return this.call('put', `/admin/v1/table/rows/${key}`, revisionHeaders(expectedRevision), body);
  }

  deleteRow(key: string, expectedRevision?: number): Promise<Outcome<StoredRow, ApiError>> {
    return this.call('delete', `/admin/v1/table/rows/${key}`, revisionHeaders(expectedRevision));
  }

  /** Whether a row's present revision is in force on all live instances, after waiting at most `waitMs`. */
  inForce(key: string, waitMs: number): Promise<Outcome<{ inForce: boolean; lagging: string[] }, ApiError>> {
    return this.call('get', `/admin/v1/table/revision?key=${encodeURIComponent(key)}&wait=${String(waitMs)}`);
  }

  /** Creates an organisation; its key is shown only here. */
  createOrganisation(name: string, role: string): Promise<Outcome<NewKey, ApiError>> {
    const body = JSON.stringify({ role });
    return this.call('put', `/admin/v1/organisations/${name}`, { 'content-type': 'application/json' }, body);
  }

  /** Adds a key to an organisation; the others stay valid. */
  addKey(name: string): Promise<Outcome<NewKey, ApiError>> {
    return this.call('post', `/admin/v1/organisations/${name}/keys`);
  }

  removeKey(name: string, hash: string): Promise<Outcome<unknown, ApiError>> {
    return this.call('delete', `/admin/v1/organisations/${name}/keys/${hash}`);
  }

  retireOrganisation(name: string): Promise<Outcome<unknown, ApiError>> {
    return this.call('delete', `/admin/v1/organisations/${name}`);
  }

  dump(): Promise<Outcome<Record<string, unknown>, ApiError>> {
    return this.call('get', '/admin/v1/dump');
  }

  private post<T>(
    path: string,
    body: unknown,
    headers: Record<string, string> = {},
  ): Promise<Outcome<T, ApiError>> {
    return this.call<T>(
      'post',
      path,
      { 'content-type': 'application/json', ...headers },
      JSON.stringify(body),
    );
  }

  private async call<T>(
    method: 'get' | 'post' | 'put' | 'delete',
    path: string,
    headers: Record<string, string> = {},
    body?: string | Readable,
  ): Promise<Outcome<T, ApiError>> {
    try {
      const answer = await got(`${this.address}${path}`, { ...this.options(headers), method, body });
      if (answer.statusCode >= 300) return fail(problemOf(answer.statusCode, answer.body));
      return ok(JSON.parse(answer.body) as T);
    } catch (error) {
      return fail(noAnswer(error));
    }
  }

  private options(headers: Record<string, string>) {
    return {
      headers: { authorization: `Bearer ${this.key}`, ...headers },
      retry: { limit: 0 },
      timeout: { request: CALL_TIMEOUT_MS },
      throwHttpErrors: false,
    };
  }
}

/** Reads the events of a streamed answer. */
class AnswerReader {
  private requestId = '';
  private text = '';
  private tokens = 0;
  private firstTokenMs = 0;
  private done = false;
  private problem: ApiError | undefined;
  private readonly parser = createParser({ onEvent: (event) => this.onEvent(event.event, event.data) });

  constructor(
    private readonly startedMs: number,
    private readonly onToken: (text: string) => void,
  ) {}

  feed(text: string): void {
    this.parser.feed(text);
  }

  end(): Outcome<StreamedAnswer, ApiError> {
    if (this.problem) return fail(this.problem);
    if (!this.done) return fail(noAnswer(new Error('the stream broke off')));
    const totalMs = performance.now() - this.startedMs;
    return ok({
      requestId: this.requestId,
      text: this.text,
      tokens: this.tokens,
      firstTokenMs: this.firstTokenMs,
      totalMs,
    });
  }

  private onEvent(name: string | undefined, data: string): void {
    if (name === 'error') {
      this.problem = problemOf(200, data);
      return;
    }
    if (data === '[DONE]') {
      this.done = true;
      return;
    }
    const event = JSON.parse(data) as StreamEventBody;
    const choice = event.choices[0];
    if (choice?.finish_reason) return;
    if (this.tokens === 0) this.firstTokenMs = performance.now() - this.startedMs;
    this.requestId = event.id;
    this.tokens += 1;
    this.text += choice?.text ?? '';
    this.onToken(choice?.text ?? '');
  }
}

function callHeaders(call: CompletionCall): Record<string, string> {
  return {
    ...keyHeader(call.idempotencyKey),
    ...(call.idempotent === false ? { 'fighub-idempotent': 'false' } : {}),
    ...(call.deadlineUnixMs === undefined ? {} : { 'fighub-deadline-unix-ms': String(call.deadlineUnixMs) }),
  };
}

function keyHeader(key: string | undefined): Record<string, string> {
  return key === undefined ? {} : { 'idempotency-key': key };
}

function revisionHeaders(expectedRevision: number | undefined): Record<string, string> {
  if (expectedRevision === undefined) return {};
  return expectedRevision === 0 ? { 'if-none-match': '*' } : { 'if-match': `"${String(expectedRevision)}"` };
}

function* withNewlines(lines: Iterable<string>): Generator<string> {
  for (const line of lines) yield `${line}\n`;
}

function problemOf(status: number, text: string): ApiError {
  try {
    const body = JSON.parse(text) as Partial<ApiError>;
    return { ...body, status, code: body.code ?? 'unknown', detail: body.detail ?? '' };
  } catch {
    return { status, code: 'unknown', detail: text.slice(0, 200) };
  }
}

function noAnswer(error: unknown): ApiError {
  return { status: 0, code: 'no_answer', detail: error instanceof Error ? error.message : String(error) };
}
