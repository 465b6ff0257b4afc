/** The hosting platform's list of instances and upstreams. Changes appear in it with a delay. */
import type { Agent } from 'node:http';

import type { Outcome } from '@fighub/core';
import { fail, ok, splitAddress } from '@fighub/core';
import got from 'got';
import { z } from 'zod';

import { ResetReportingAgent } from './connection-reset.js';

/** State of an instance according to the list. */
export const ListedState = { live: 'live', leaving: 'leaving' } as const;
export type ListedState = (typeof ListedState)[keyof typeof ListedState];

/** One entry of the list: an instance of the fleet or an upstream. */
export interface ListedInstance {
  readonly instanceId: string;
  /** `entry` for every instance of the fleet, including coordinators. */
  readonly kind: 'entry' | 'upstream';
  readonly failureDomain: string;
  /** For an instance of the fleet the host and port for peer connections, for an upstream the base URL. */
  readonly address: string;
  readonly state: ListedState;
}

/**
 * Schema of an entry of the list, which other writers may have written too. Fields of newer releases are dropped.
 */
export const listedInstanceSchema: z.ZodType<ListedInstance> = z
  .object({
    instanceId: z.string().min(1),
    kind: z.enum(['entry', 'upstream']),
    failureDomain: z.string(),
    address: z.string().min(1),
    state: z.enum(Object.values(ListedState)),
  })
  .refine(({ kind, address }) => kind === 'upstream' || splitAddress(address).port > 0, {
    path: ['address'],
    message: 'expected a host and a port',
  });

/** Access to the list. Errors are returned as text. */
export interface InstanceList {
  /** Reads the whole list. Entries that name no instance are left out. */
  read(): Promise<Outcome<ListedInstance[], string>>;
  /** Registers an instance, or replaces its entry when it is registered already. */
  announce(instance: ListedInstance): Promise<Outcome<void, string>>;
}

/** `InstanceList` over HTTP with JSON. */
export class HttpInstanceList implements InstanceList {
  private readonly agent: Agent;

  constructor(
    private readonly address: string,
    private readonly timeoutMs: number,
    localAddress?: string,
  ) {
    this.agent = new ResetReportingAgent({ keepAlive: true, localAddress });
  }

  async read(): Promise<Outcome<ListedInstance[], string>> {
    try {
      const body = z.array(z.unknown()).parse(await got(`${this.address}/instances`, this.options()).json());
      return ok(body.flatMap((entry) => listedInstanceSchema.safeParse(entry).data ?? []));
    } catch (error) {
      return fail(String(error));
    }
  }

  async announce(instance: ListedInstance): Promise<Outcome<void, string>> {
    try {
      await got.put(`${this.address}/instances/${instance.instanceId}`, {
        ...this.options(),
        json: instance,
      });
      return ok(undefined);
    } catch (error) {
      return fail(String(error));
    }
  }

  private options(): { timeout: { request: number }; retry: { limit: number }; agent: { http: Agent } } {
    return { agent: { http: this.agent }, timeout: { request: this.timeoutMs }, retry: { limit: 0 } };
  }
}
