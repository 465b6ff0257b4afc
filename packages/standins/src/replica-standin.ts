/** Stand-in for a replica of the hosting platform. It serves event streams, with faults that tests set. */
import type { IncomingMessage, Server, ServerResponse } from 'node:http';

import { digest } from '@fighub/core';

import type { RunningServer } from './http-util.js';
import { serve } from './http-util.js';

/** Faults of a replica. A count decreases with each request that it affects. */
export interface ReplicaFaults {
  /** Number of following requests that are refused with status 503 before they run. */
  refuse: number;
  /** Number of following requests whose connection breaks in the middle of the third event. */
  breakOff: number;
  /** Number of following requests whose response has neither a length nor chunks and ends with its connection. */
  unframed: number;
  /** Number of following requests whose response has the id of another request. */
  crossed: number;
  /** Number of following requests whose response sends single bytes now and then after the third event. */
  stall: number;
  /** Number of following requests whose response pauses after the third event, and for how long. */
  pause: number;
  pauseMs: number;
  /** Time from the start of each run to its first event, in milliseconds. */
  firstEventDelayMs: number;
  /** HTTP status with which every request fails after it has started to run; 0 to respond with an event stream. */
  status: number;
  /** Whether all responses state that the replica is leaving. */
  leaving: boolean;
  /** Id of a part of a prompt. The replica crashes when it has begun to respond to a request with it; empty for none. */
  crashPartId: string;
  /** Body of requests under which the replica crashes; empty for none. */
  crashBody: string;
  /** Number of events of such a response before the crash. */
  crashAfterEvents: number;
  /** Number of following requests whose response is `rawResponse` instead, after which its connection is closed. */
  spoil: number;
  /** Bytes of a response, which need not be one in HTTP; `{requestId}` stands for the id of the request. */
  rawResponse: string;
  /** Requests a second that all responses state as the replica's limit, as the header value; empty for no limit. */
  requestLimit: string;
}

/** Record of one request that the replica ran. */
export interface ReplicaRun {
  /** Id of the request, which the caller sends in the header `Attempt-Id`. */
  readonly requestId: string;
  /** Index of the last event that the caller already has; 0 for none. */
  readonly resumeAfter: number;
  readonly body: string;
  readonly headers: IncomingMessage['headers'];
  /** Ids of the parts of the prompt, in order. */
  readonly promptPartIds: readonly string[];
  /** When the replica began to run the request, in the time of `performance.now()`. */
  readonly startedAtMs: number;
  /** Time left for the request when it was sent; undefined if the request does not state it. */
  readonly deadlineMs?: number;
  /** Number of events that have been written. */
  writtenEvents: number;
  /** Whether the response has ended or its connection has closed. */
  closed: boolean;
}

/** Time between two bytes of a response that stalls. */
const STALL_BYTE_PERIOD_MS = 200;
/** Time from the head of a response to the crash of the replica, if its request crashes replicas. */
const CRASH_DELAY_MS = 40;

const OPEN_MARK = '{open}';

/** The software version of a replica unless a test states another one. */
export const DEFAULT_SOFTWARE_VERSION = 'v1';

/**
 * Returns the data of event `index` in the response to a request. It is the same at every replica of a software
 * version, and differs between versions.
 */
export function eventData(
  requestId: string,
  index: number,
  softwareVersion: string = DEFAULT_SOFTWARE_VERSION,
): string {
  return `${requestId}-${String(index)}-${digest(requestId, String(index), softwareVersion).slice(0, 6)}`;
}

/** A replica that responds to each request with `eventCount` events, one every `eventMs`. */
export class ReplicaStandin {
  readonly runs: ReplicaRun[] = [];
  readonly faults: ReplicaFaults = {
    refuse: 0,
    breakOff: 0,
    unframed: 0,
    crossed: 0,
    stall: 0,
    pause: 0,
    pauseMs: 0,
    firstEventDelayMs: 0,
    status: 0,
    leaving: false,
    crashPartId: '',
    crashBody: '',
    crashAfterEvents: 0,
    requestLimit: '',
    spoil: 0,
    rawResponse: '',
  };
  /**
   * Returns bytes that answer this run instead of a stream, or undefined for a stream. The connection is closed after them
   * unless they end with `{open}`.
   */
  rawAnswer: (run: ReplicaRun) => string | undefined = () => undefined;
  /** When the replica crashed, in the time of `performance.now()`; undefined while it serves. */
  crashedAtMs: number | undefined;
  /** Called when the replica has crashed. */
  onCrash: () => void = () => undefined;
  /** When each request reached the replica, also those that it refused, in the time of `performance.now()`. */
  readonly receivedAtMs: number[] = [];
  /** Whether the crash was caused by a request. */
  crashedByRequest = false;
  /** Highest number of requests that ran at the same time. */
  peakConcurrency = 0;
  private readonly openResponses = new Set<ServerResponse>();
  private server: Server | undefined;

  constructor(
    readonly replicaId: string,
    private readonly eventCount: number,
    private readonly eventMs: number,
    readonly softwareVersion: string = DEFAULT_SOFTWARE_VERSION,
  ) {}

  async start(): Promise<RunningServer> {
    const running = await serve(0, (req, res) => void this.handle(req, res));
    this.server = running.server;
    return running;
  }

  /** Number of requests that have reached the replica, also those that it refused. */
  get receivedRequests(): number {
    return this.receivedAtMs.length;
  }

  /** Closes the connections of all running requests. */
  closeConnections(): void {
    this.openResponses.forEach((res) => res.destroy());
  }

  /** Closes all connections and accepts no more, like a process that has ended. */
  crash(): void {
    if (this.crashedAtMs !== undefined) return;
    this.crashedAtMs = performance.now();
    this.server?.close();
    this.server?.closeAllConnections();
    this.onCrash();
  }

  private async handle(req: IncomingMessage, res: ServerResponse): Promise<void> {
    const parts: Buffer[] = [];
    for await (const part of req as AsyncIterable<Buffer>) parts.push(part);
    const requestId = String(req.headers['attempt-id']);
    this.receivedAtMs.push(performance.now());
    if (this.faults.requestLimit !== '') res.setHeader('Server-Limit', this.faults.requestLimit);
    if (this.faults.leaving) res.setHeader('Server-Leaving', '1');
    if (req.headers['expect-instance'] !== this.replicaId) {
      res.writeHead(421, { 'Instance-Id': this.replicaId });
      res.end();
      return;
    }
    if (consumeFault(this.faults, 'refuse')) {
      res.writeHead(503, { 'Not-Executed': '1', 'Attempt-Id': requestId });
      res.end();
      return;
    }
    const run: ReplicaRun = {
      requestId,
      resumeAfter: Number(req.headers['last-event-id'] ?? 0),
      body: Buffer.concat(parts).toString('utf8'),
      headers: req.headers,
      promptPartIds: promptPartIdsOf(req),
      startedAtMs: performance.now(),
      deadlineMs: req.headers['deadline-ms'] === undefined ? undefined : Number(req.headers['deadline-ms']),
      writtenEvents: 0,
      closed: false,
    };
    this.runs.push(run);
    this.openResponses.add(res);
    this.peakConcurrency = Math.max(this.peakConcurrency, this.openResponses.size);
    res.once('close', () => {
      run.closed = true;
      this.openResponses.delete(res);
    });
    await this.answer(run, res);
  }

  private crashByRequest(): void {
    this.crashedByRequest ||= this.crashedAtMs === undefined;
    this.crash();
  }

  private crashesUnder({ promptPartIds, body }: ReplicaRun): boolean {
    const { crashPartId, crashBody } = this.faults;
    return promptPartIds.includes(crashPartId) || (crashBody !== '' && body === crashBody);
  }

  private async answer(run: ReplicaRun, res: ServerResponse): Promise<void> {
    if (consumeFault(this.faults, 'spoil')) {
      res.socket?.end(this.faults.rawResponse.replaceAll('{requestId}', run.requestId));
      return;
    }
    const raw = this.rawAnswer(run);
    if (raw !== undefined) {
      const bytes = raw.replaceAll('{requestId}', run.requestId);
      if (bytes.endsWith(OPEN_MARK)) res.socket?.write(bytes.slice(0, -OPEN_MARK.length));
      else res.socket?.end(bytes);
      return;
    }
    const echoedAttemptId = consumeFault(this.faults, 'crossed') ? 'another-request' : run.requestId;
    const headers = { 'Attempt-Id': echoedAttemptId, 'Response-Seal': `seal-${run.requestId}` };
    if (this.faults.status > 0) {
      res.writeHead(this.faults.status, headers);
      res.end('failed');
      return;
    }
    const breaksOff = consumeFault(this.faults, 'breakOff');
    const stalls = consumeFault(this.faults, 'stall');
    const pauses = consumeFault(this.faults, 'pause');
    if (consumeFault(this.faults, 'unframed')) res.removeHeader('Transfer-Encoding');
    res.writeHead(200, { ...headers, 'Content-Type': 'text/event-stream' });
    const crashes = this.crashesUnder(run);
    if (crashes && this.faults.crashAfterEvents === 0) {
      res.flushHeaders();
      await new Promise((resolve) => setTimeout(resolve, CRASH_DELAY_MS));
      this.crashByRequest();
      return;
    }
    if (this.faults.firstEventDelayMs > 0)
      await new Promise((resolve) => setTimeout(resolve, this.faults.firstEventDelayMs));
    for (let index = run.resumeAfter + 1; index <= this.eventCount && !run.closed; index += 1) {
      if (breaksOff && index === run.resumeAfter + 3) {
        res.write(`id: ${String(index)}\ndata: brok`, () => res.destroy());
        return;
      }
      if (stalls && index === run.resumeAfter + 4) return this.stall(run, res);
      if (pauses && index === run.resumeAfter + 4)
        await new Promise((resolve) => setTimeout(resolve, this.faults.pauseMs));
      res.write(`id: ${String(index)}\ndata: ${eventData(run.requestId, index, this.softwareVersion)}\n\n`);
      run.writtenEvents += 1;
      if (crashes && run.writtenEvents === this.faults.crashAfterEvents) {
        this.crashByRequest();
        return;
      }
      await new Promise((resolve) => setTimeout(resolve, this.eventMs));
    }
    res.end();
  }

  /** Sends the bytes of an event that never ends, until the connection closes. */
  private async stall(run: ReplicaRun, res: ServerResponse): Promise<void> {
    res.write('data: ');
    while (!run.closed) {
      res.write('x');
      await new Promise((resolve) => setTimeout(resolve, STALL_BYTE_PERIOD_MS));
    }
  }
}

function promptPartIdsOf(req: IncomingMessage): string[] {
  const header = req.headers['prompt-prefix'];
  return typeof header === 'string' ? header.split(',').map((entry) => entry.split(':')[0] ?? '') : [];
}

function consumeFault(
  faults: ReplicaFaults,
  name: 'refuse' | 'breakOff' | 'unframed' | 'crossed' | 'stall' | 'pause' | 'spoil',
): boolean {
  if (faults[name] === 0) return false;
  faults[name] -= 1;
  return true;
}
