/** Client of plain services, which are HTTP services other than engines. */
import { isFinalStatus } from '@fighub/core';
import got, { RequestError } from 'got';

import { nonPersistentAgent } from './connection-pool.js';
import { isNotSent } from './not-sent.js';

const CONNECT_TIMEOUT_MS = 500;

/** A POST request to a plain service. */
export interface ServiceCall {
  /** Base URL of the service. */
  readonly address: string;
  /** Path without a leading slash. */
  readonly path: string;
  readonly requestId: string;
  readonly contentType: string;
  readonly body: string;
  /** Timeout of the whole call. */
  readonly timeoutMs: number;
}

/** The service's response, or the description of the error when there is none. */
export interface ServiceResponse {
  /** HTTP status; undefined when no complete response was received. */
  readonly status?: number;
  readonly contentType: string;
  /** Body of the response, or the error message. */
  readonly body: string;
  /** Whether any byte of the request may have reached the service. */
  readonly sent: boolean;
}

/** Calls plain services. */
export interface PlainService {
  /** Sends one request, on a new connection and without retries. Never rejects. */
  call(call: ServiceCall): Promise<ServiceResponse>;
}

/** `PlainService` over HTTP. */
export class HttpPlainService implements PlainService {
  private readonly agent;

  constructor(localAddress?: string) {
    this.agent = nonPersistentAgent(localAddress);
  }

  async call(call: ServiceCall): Promise<ServiceResponse> {
    try {
      const response = await got.post(`${call.address}/${call.path}`, {
        body: call.body,
        headers: { 'content-type': call.contentType, 'x-request-id': call.requestId, connection: 'close' },
        timeout: { connect: CONNECT_TIMEOUT_MS, request: call.timeoutMs },
        retry: { limit: 0 },
        throwHttpErrors: false,
        agent: { http: this.agent },
      });
      if (!isFinalStatus(response.statusCode)) {
        const body = `the response has the status ${String(response.statusCode)}`;
        return { contentType: 'text/plain', body, sent: true };
      }
      const contentType = response.headers['content-type'] ?? 'application/octet-stream';
      return { status: response.statusCode, contentType, body: response.body, sent: true };
    } catch (error) {
      const detail = error instanceof RequestError ? error.message : String(error);
      return { contentType: 'text/plain', body: detail, sent: !isNotSent(error) };
    }
  }
}
