/** HTTP handlers with which operators issue orders to engines. */
import { notRun } from '@fighub/core';
import { OrderKind } from '@fighub/outside';
import { z } from 'zod';

import type { Caller, Request, Response } from '../ingress/http-helpers.js';
import { readJson, sendJson, sendProblem } from '../ingress/http-helpers.js';
import type { OrderIssuer } from './order-issuer.js';

const MAX_BODY_BYTES = 10_000;
const orderSchema = z.strictObject({ kind: z.enum(OrderKind), argument: z.string().min(1).max(200) });

/** Handles `/admin/v1/upstreams/<name>/orders`. */
export class OrderApi {
  constructor(private readonly issuer: OrderIssuer) {}

  /** Issues the order in the request body and sends its record once it has ended. */
  async issue(req: Request, res: Response, caller: Caller, upstreamId: string): Promise<void> {
    const body = await readJson(req, MAX_BODY_BYTES);
    if (!body.ok) return sendProblem(res, body.error);
    const parsed = orderSchema.safeParse(body.value);
    if (!parsed.success) {
      return sendProblem(
        res,
        notRun(
          'bad_request',
          `the body must have the fields kind (one of ${Object.values(OrderKind).join(', ')}) and argument`,
        ),
      );
    }
    const issued = await this.issuer.issue(
      upstreamId,
      parsed.data.kind,
      parsed.data.argument,
      caller.organisation,
    );
    if (issued.ok) sendJson(res, 200, issued.value);
    else sendProblem(res, issued.error);
  }

  /** Sends the record of the last order to a replica. */
  async last(res: Response, upstreamId: string): Promise<void> {
    const last = await this.issuer.last(upstreamId);
    if (!last.ok) sendProblem(res, last.error);
    else if (!last.value) sendProblem(res, notRun('unknown_row', `no order was issued to ${upstreamId}`));
    else sendJson(res, 200, last.value);
  }
}
