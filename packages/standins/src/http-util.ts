/** HTTP helpers shared by the stand-ins. */
import type { IncomingMessage, RequestListener, Server, ServerResponse } from 'node:http';
import { createServer } from 'node:http';
import type { AddressInfo } from 'node:net';

/** Reads a request body as JSON. Returns an empty object if the body is empty or is not valid JSON. */
export async function readJsonBody<T>(req: IncomingMessage): Promise<T> {
  const parts: Buffer[] = [];
  for await (const part of req as AsyncIterable<Buffer>) parts.push(part);
  try {
    return JSON.parse(Buffer.concat(parts).toString('utf8')) as T;
  } catch {
    return {} as T;
  }
}

/** Sends a complete response with a JSON body. */
export function sendJsonBody(res: ServerResponse, status: number, body: unknown): void {
  res.writeHead(status, { 'Content-Type': 'application/json' });
  res.end(JSON.stringify(body));
}

/** Header sections of instances are larger than those of their callers. */
const MAX_HEADER_BYTES = 65_536;

/** A listening server and its base URL. */
export interface RunningServer {
  readonly address: string;
  readonly server: Server;
}

/** Starts a server on 127.0.0.1. Port 0 selects a free port. Rejects if the port cannot be bound. */
export function serve(port: number, listener: RequestListener): Promise<RunningServer> {
  const server = createServer({ maxHeaderSize: MAX_HEADER_BYTES }, listener);
  server.keepAliveTimeout = 60_000;
  return new Promise((resolve, reject) => {
    server.once('error', reject);
    server.listen(port, '127.0.0.1', () => {
      const boundPort = (server.address() as AddressInfo).port;
      resolve({ address: `http://127.0.0.1:${String(boundPort)}`, server });
    });
  });
}
