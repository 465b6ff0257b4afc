/** Stand-in for a plain service with calls that must not be executed twice, such as print orders. */
import type { IncomingMessage, ServerResponse } from 'node:http';

import type { RunningServer } from './http-util.js';
import { readJsonBody, sendJsonBody, serve } from './http-util.js';

/** Settings of the service stand-in. */
export interface ServiceStandinOptions {
  readonly port: number;
  /** Time that the service takes to carry out an order. */
  readonly workMs: number;
}

/** Faults of the service, which can be changed through `/faults` while it runs. */
export interface ServiceFaults {
  /** Probability that the connection breaks after an order was carried out and before its response. */
  loseAnswerProbability: number;
}

/** Starts the service stand-in. `/journal` returns how often the order with each `orderId` was executed. */
export async function startServiceStandin(options: ServiceStandinOptions): Promise<RunningServer> {
  const runsByOrder = new Map<string, number>();
  const faults: ServiceFaults = { loseAnswerProbability: 0 };
  const handle = async (req: IncomingMessage, res: ServerResponse): Promise<void> => {
    if (req.url === '/journal') return sendJsonBody(res, 200, Object.fromEntries(runsByOrder));
    const body = await readJsonBody<Partial<ServiceFaults> & { orderId?: string }>(req);
    if (req.url === '/faults') {
      Object.assign(faults, body);
      return sendJsonBody(res, 200, faults);
    }
    const orderId = body.orderId ?? '';
    runsByOrder.set(orderId, (runsByOrder.get(orderId) ?? 0) + 1);
    await new Promise((resolve) => setTimeout(resolve, options.workMs));
    if (Math.random() < faults.loseAnswerProbability) res.destroy();
    else sendJsonBody(res, 201, { orderId, printed: true });
  };
  return serve(options.port, (req, res) => void handle(req, res));
}
