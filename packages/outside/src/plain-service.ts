/** Plain services beside the engines, reached over HTTP. */
import got, { RequestError } from 'got';

import { newConnectionsAgent } from './connection-pool.js';
import { isNotSent } from './not-sent.js';

const CONNECT_TIMEOUT_MS = 500;

/** A call to a plain service. */
export interface ServiceCall {
  readonly address: string;
  readonly path: string;
  readonly requestId: string;
  readonly contentType: string;
  readonly body: string;
  readonly timeoutMs: number;
}

/** The service's answer, or why there is none. */
export interface ServiceAnswer {
  readonly status?: number;
  readonly contentType: string;
  readonly body: string;
  /** Whether any byte of the request may have reached the service. */
  readonly sent: boolean;
}

/** Calls plain services. */
export interface PlainService {
  call(call: ServiceCall): Promise<ServiceAnswer>;
}

/** Plain services over HTTP. */
export class HttpPlainService implements PlainService {
  private readonly agent;

  constructor(localAddress?: string) {
    this.agent = newConnectionsAgent(localAddress);
  }

  async call(call: ServiceCall): Promise<ServiceAnswer> {
    try {
      const answer = await got.post(`${call.address}/${call.path}`, {
        body: call.body,
        headers: { 'content-type': call.contentType, 'x-request-id': call.requestId, connection: 'close' },
        timeout: { connect: CONNECT_TIMEOUT_MS, request: call.timeoutMs },
        retry: { limit: 0 },
        throwHttpErrors: false,
        agent: { http: this.agent },
      });
      const contentType = answer.headers['content-type'] ?? 'application/octet-stream';
      return { status: answer.statusCode, contentType, body: answer.body, sent: true };
    } catch (error) {
      const detail = error instanceof RequestError ? error.message : String(error);
      return { contentType: 'text/plain', body: detail, sent: !isNotSent(error) };
    }
  }
}
