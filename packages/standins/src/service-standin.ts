/** Stand-in of a plain service whose calls may not be repeated, such as print orders. */
import type { IncomingMessage, ServerResponse } from 'node:http';

import type { RunningServer } from './http-util.js';
import { readJsonBody, sendJsonBody, serve } from './http-util.js';

/** Settings of the stand-in. */
export interface ServiceStandinOptions {
  readonly port: number;
  readonly workMs: number;
}

/** Faults that can be switched while it runs. */
export interface ServiceFaults {
  /** Probability that the connection breaks after the order was carried out. */
  loseAnswerProbability: number;
}

/** Starts the stand-in. Orders are counted by their `orderId`. */
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
