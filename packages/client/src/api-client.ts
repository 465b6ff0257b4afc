/** HTTP client for the interfaces of callers and operators. */
import { Readable } from 'node:stream';
import { StringDecoder } from 'node:string_decoder';

import { ResetReportingAgent } from '@fighub/outside';
import type { ItemResult, Outcome, StoredRow } from '@fighub/core';
import { fail, ok } from '@fighub/core';
import { createParser } from 'eventsource-parser';
import got from 'got';

/** A failed call: the problem document of the server, or no usable response. */
export interface ApiError {
  /** HTTP status; 0 if no complete response with a valid body arrived, and 200 for an error event within a stream. */
  readonly status: number;
  /** Error code; `no_answer` if `status` is 0, `unknown` if the server sent no code. */
  readonly code: string;
  readonly detail: string;
  /** Whether the request was executed: `not_run`, `may_have_run`, or undefined if the server did not state it. */
  readonly run?: string;
  /** Delay after which the server suggests a retry, in milliseconds. */
  readonly retryAfterMs?: number;
  /** For a conflict on a row, the present version of the row; null if the row does not exist. */
  readonly present?: StoredRow | null;
}

/** Parameters of a request for a completion. */
export interface CompletionParameters {
  readonly model: string;
  readonly prompt: string;
  readonly maxTokens: number;
  /** With `idempotent` false, repeated requests with the same key run at most once. */
  readonly idempotencyKey?: string;
  /** False states that the request must not run twice, so the server does not retry it once it may have run. */
  readonly idempotent?: boolean;
  readonly deadlineUnixMs?: number;
}

/** A streamed completion, with its times since the start of the call. */
export interface StreamedCompletion {
  readonly requestId: string;
  readonly text: string;
  readonly tokens: number;
  readonly firstTokenMs: number;
  readonly totalMs: number;
}

/** State of a job as the server reports it. */
export interface JobView {
  readonly jobId: string;
  readonly state: string;
  readonly itemCount: number;
  /** Number of items that have ended, including the failed ones. */
  readonly doneCount: number;
  readonly failedCount: number;
  /** End of the job, or its expected end at the mean rate so far; undefined before the first results. */
  readonly expectedEndUnixMs?: number;
  /** Whether the job ended or is expected to end after its due time. */
  readonly late: boolean;
}

/** Parameters of a request to create a job. */
export interface JobParameters {
  readonly model: string;
  /** Items of the job, each as a line of JSON without a line break. */
  readonly lines: Iterable<string>;
  /** A repeated request with the same key finds the job of the first one. */
  readonly idempotencyKey?: string;
  readonly dueAtUnixMs?: number;
  /** False runs each item at most once. */
  readonly idempotent?: boolean;
}

/** A page of results. */
export interface ResultsPage {
  readonly results: readonly ItemResult[];
  /**
   * Cursor of the next page; undefined once all results of an ended job were read. It equals the cursor of this page
   * if the page is empty because its chunk of the job is still open.
   */
  readonly nextCursor?: string;
}

/** A newly created key of an organisation. */
export interface NewKey {
  readonly organisation: string;
  /** The key itself, which the server does not store. */
  readonly key: string;
  /** The digest under which the server stores the key. */
  readonly keyHash: string;
}

/** Body of one server-sent event of a streamed completion. */
interface StreamEventBody {
  readonly id: string;
  readonly choices: readonly { readonly text?: string; readonly finish_reason?: string | null }[];
}

/** Limit of a whole call, from the upload of its body to the end of its response. */
const CALL_TIMEOUT_MS = 30_000;
/** Idle connections are closed after this time, before servers close them. */
const IDLE_TIMEOUT_MS = 5_000;
const AGENT = new ResetReportingAgent({ keepAlive: true, timeout: IDLE_TIMEOUT_MS });

/** Calls one instance with one key. Calls are not retried, and failures are returned instead of thrown. */
export class ApiClient {
  constructor(
    /** Base URL of the instance, without a trailing slash. */
    private readonly address: string,
    private readonly key: string,
  ) {}

  /** Streams a completion. `onToken` receives the text of each event as it arrives. */
  async stream(
    parameters: CompletionParameters,
    onToken: (text: string) => void = () => undefined,
    signal?: AbortSignal,
  ): Promise<Outcome<StreamedCompletion, ApiError>> {
    const startedMs = performance.now();
    const stream = got.stream.post(`${this.address}/v1/completions`, {
      ...this.options(completionHeaders(parameters)),
      json: {
        model: parameters.model,
        prompt: parameters.prompt,
        max_tokens: parameters.maxTokens,
        stream: true,
      },
      signal,
    });
    const reader = new CompletionStreamReader(startedMs, onToken);
    try {
      let status = 0;
      let problemText = '';
      stream.on('response', (response: { statusCode: number }) => (status = response.statusCode));
      // Keeps the bytes of a character that is split between two parts.
      const decoder = new StringDecoder('utf8');
      for await (const part of stream as AsyncIterable<Buffer>) {
        const text = decoder.write(part);
        if (status === 200) reader.feed(text);
        else problemText += text;
      }
      return status === 200 ? reader.end() : fail(problemOf(status, problemText));
    } catch (error) {
      return fail(noResponse(error));
    }
  }

  /** Requests a completion in one response. */
  async complete(parameters: CompletionParameters): Promise<Outcome<{ id: string; text: string }, ApiError>> {
    const body = { model: parameters.model, prompt: parameters.prompt, max_tokens: parameters.maxTokens };
    const response = await this.post<{ id: string; choices: { text: string }[] }>(
      '/v1/completions',
      body,
      completionHeaders(parameters),
    );
    return response.ok
      ? ok({ id: response.value.id, text: response.value.choices[0]?.text ?? '' })
      : response;
  }

  /** Calls a plain service with a JSON body. */
  callService(
    service: string,
    path: string,
    body: unknown,
    idempotencyKey?: string,
  ): Promise<Outcome<unknown, ApiError>> {
    return this.post(`/v1/services/${service}/${path}`, body, idempotencyHeader(idempotencyKey));
  }

  /** Creates a job by uploading its items as JSON Lines. */
  async createJob(parameters: JobParameters): Promise<Outcome<JobView, ApiError>> {
    const query = new URLSearchParams({ model: parameters.model });
    if (parameters.dueAtUnixMs !== undefined) query.set('dueAtUnixMs', String(parameters.dueAtUnixMs));
    if (parameters.idempotent === false) query.set('idempotent', 'false');
    const headers = { 'content-type': 'application/jsonl', ...idempotencyHeader(parameters.idempotencyKey) };
    return this.call<JobView>(
      'post',
      `/v1/jobs?${query.toString()}`,
      headers,
      Readable.from(withNewlines(parameters.lines)),
    );
  }

  /** Reads the state of a job. */
  job(jobId: string): Promise<Outcome<JobView, ApiError>> {
    return this.call('get', `/v1/jobs/${jobId}`);
  }

  /** Cancels a job, and returns its state. */
  cancelJob(jobId: string): Promise<Outcome<JobView, ApiError>> {
    return this.call('post', `/v1/jobs/${jobId}/cancel`);
  }

  /** Lists the open jobs of all organisations. */
  listJobs(): Promise<Outcome<unknown, ApiError>> {
    return this.call('get', '/admin/v1/jobs');
  }

  /** Reads one page of results, from the cursor `0.0` or the `nextCursor` of the previous page. */
  async results(jobId: string, cursor: string): Promise<Outcome<ResultsPage, ApiError>> {
    try {
      const response = await got(
        `${this.address}/v1/jobs/${jobId}/results?cursor=${cursor}`,
        this.options({}),
      );
      if (response.statusCode !== 200) return fail(problemOf(response.statusCode, response.body));
      const lines = response.body.split('\n').filter((line) => line !== '');
      const nextCursor = response.headers['fighub-next-cursor'];
      return ok({
        results: lines.map((line) => JSON.parse(line) as ItemResult),
        nextCursor: typeof nextCursor === 'string' ? nextCursor : undefined,
      });
    } catch (error) {
      return fail(noResponse(error));
    }
  }

  /**
   * Reads the results in the order of the job's chunks, up to those available now in the first chunk that is still
   * open. Results of later chunks are not included until that chunk is complete or the job is cancelled.
   */
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

  /** Reads the operators' table: its rows, and the revision of each bucket of rows. */
  table(): Promise<Outcome<{ revisions: number[]; rows: StoredRow[] }, ApiError>> {
    return this.call('get', '/admin/v1/table');
  }

  /** Reads the present version of a row. */
  row(key: string): Promise<Outcome<StoredRow, ApiError>> {
    return this.call('get', `/admin/v1/table/rows/${key}`);
  }

  /** Reads the recorded versions of a row, newest first and including the present one. The record may miss changes. */
  rowHistory(key: string): Promise<Outcome<StoredRow[], ApiError>> {
    return this.call('get', `/admin/v1/table/history/${key}`);
  }

  /**
   * Creates or changes a row. Fails with status 409 unless the row has `expectedRevision`; 0 requires that the row
   * does not exist, and undefined accepts any state.
   */
  putRow(key: string, value: unknown, expectedRevision?: number): Promise<Outcome<StoredRow, ApiError>> {
    const body = JSON.stringify(value);
    return this.call('put', `/admin/v1/table/rows/${key}`, revisionHeaders(expectedRevision), body);
  }

  /** Deletes a row. `expectedRevision` is used as in `putRow`. */
  deleteRow(key: string, expectedRevision?: number): Promise<Outcome<StoredRow, ApiError>> {
    return this.call('delete', `/admin/v1/table/rows/${key}`, revisionHeaders(expectedRevision));
  }

  /**
   * Whether the present revision of a row is in force on all live instances, after waiting at most `waitMs` for it.
   */
  inForce(key: string, waitMs: number): Promise<Outcome<{ inForce: boolean; lagging: string[] }, ApiError>> {
    return this.call('get', `/admin/v1/table/revision?key=${encodeURIComponent(key)}&wait=${String(waitMs)}`);
  }

  /** Creates an organisation with its first key, which cannot be read again later. */
  createOrganisation(name: string, role: string): Promise<Outcome<NewKey, ApiError>> {
    const body = JSON.stringify({ role });
    return this.call('put', `/admin/v1/organisations/${name}`, { 'content-type': 'application/json' }, body);
  }

  /** Adds a key to an organisation; its other keys stay valid. */
  addKey(name: string): Promise<Outcome<NewKey, ApiError>> {
    return this.call('post', `/admin/v1/organisations/${name}/keys`);
  }

  /** Removes the key with the digest `hash` from an organisation. */
  removeKey(name: string, hash: string): Promise<Outcome<unknown, ApiError>> {
    return this.call('delete', `/admin/v1/organisations/${name}/keys/${hash}`);
  }

  /** Retires an organisation: its keys are no longer accepted, its jobs and results stay. */
  retireOrganisation(name: string): Promise<Outcome<unknown, ApiError>> {
    return this.call('delete', `/admin/v1/organisations/${name}`);
  }

  /** Reads the state dump of the instance. */
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
      const response = await got(`${this.address}${path}`, { ...this.options(headers), method, body });
      if (response.statusCode >= 300) return fail(problemOf(response.statusCode, response.body));
      return ok(JSON.parse(response.body) as T);
    } catch (error) {
      return fail(noResponse(error));
    }
  }

  private options(headers: Record<string, string>) {
    return {
      headers: { authorization: `Bearer ${this.key}`, ...headers },
      agent: { http: AGENT },
      retry: { limit: 0 },
      timeout: { request: CALL_TIMEOUT_MS },
      throwHttpErrors: false,
    };
  }
}

/** Collects the server-sent events of a streamed completion. */
class CompletionStreamReader {
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

  end(): Outcome<StreamedCompletion, ApiError> {
    if (this.problem) return fail(this.problem);
    if (!this.done) return fail(noResponse(new Error('the response ended before the stream was complete')));
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

function completionHeaders(parameters: CompletionParameters): Record<string, string> {
  return {
    ...idempotencyHeader(parameters.idempotencyKey),
    ...(parameters.idempotent === false ? { 'fighub-idempotent': 'false' } : {}),
    ...(parameters.deadlineUnixMs === undefined
      ? {}
      : { 'fighub-deadline-unix-ms': String(parameters.deadlineUnixMs) }),
  };
}

function idempotencyHeader(key: string | undefined): Record<string, string> {
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

function noResponse(error: unknown): ApiError {
  return { status: 0, code: 'no_answer', detail: error instanceof Error ? error.message : String(error) };
}
