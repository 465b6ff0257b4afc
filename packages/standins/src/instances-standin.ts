/** Stand-in of the platform's instance list: HTTP with JSON, answers lag. */
import type { IncomingMessage, ServerResponse } from 'node:http';

import type { ListedInstance } from '@fighub/outside';

import type { RunningServer } from './http-util.js';
import { readJsonBody, sendJsonBody, serve } from './http-util.js';

/** Settings of the stand-in. */
export interface InstancesStandinOptions {
  readonly port: number;
  /** Age of the state that is shown, in milliseconds. */
  readonly lagMs: number;
}

/** Starts the stand-in. */
export async function startInstancesStandin(options: InstancesStandinOptions): Promise<RunningServer> {
  const present = new Map<string, ListedInstance>();
  const listed = new Map<string, ListedInstance>();
  const handle = async (req: IncomingMessage, res: ServerResponse): Promise<void> => {
    const id = /^\/instances\/([\w.-]+)$/.exec(req.url ?? '')?.[1];
    if (req.method === 'PUT' && id !== undefined) {
      const instance = await readJsonBody<ListedInstance>(req);
      present.set(id, instance);
      setTimeout(() => listed.set(id, instance), options.lagMs);
      sendJsonBody(res, 200, instance);
    } else if (req.method === 'DELETE' && id !== undefined) {
      present.delete(id);
      setTimeout(() => listed.delete(id), options.lagMs);
      sendJsonBody(res, 200, {});
    } else if (req.url === '/instances') sendJsonBody(res, 200, [...listed.values()]);
    else sendJsonBody(res, 404, { error: 'not found' });
  };
  return serve(options.port, (req, res) => void handle(req, res));
}
