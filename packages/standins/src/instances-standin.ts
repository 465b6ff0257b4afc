/** Stand-in for the hosting platform's list of instances. Changes become visible in the list only after a delay. */
import type { IncomingMessage, ServerResponse } from 'node:http';

import type { ListedInstance } from '@fighub/outside';

import type { RunningServer } from './http-util.js';
import { readJsonBody, sendJsonBody, serve } from './http-util.js';

/** Settings of the instance list stand-in. */
export interface InstancesStandinOptions {
  readonly port: number;
  /** Time after which a change becomes visible in the list. */
  readonly lagMs: number;
}

/**
 * Starts the instance list stand-in. `PUT /instances/<id>` and `DELETE /instances/<id>` change the list, and
 * `GET /instances` returns it.
 */
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
