/** The platform's lagging list of instances and upstreams. */
import type { Outcome } from '@fighub/core';
import { fail, ok } from '@fighub/core';
import got from 'got';

/** What the list says of one instance. */
export const ListedState = { live: 'live', leaving: 'leaving' } as const;
export type ListedState = (typeof ListedState)[keyof typeof ListedState];

/** One entry of the list. */
export interface ListedInstance {
  readonly instanceId: string;
  readonly kind: 'entry' | 'upstream';
  readonly failureDomain: string;
  /** For entries the address of the peer port, for upstreams the base URL. */
  readonly address: string;
  readonly state: ListedState;
}

/** Reads the list. */
export interface InstanceList {
  read(): Promise<Outcome<ListedInstance[], string>>;
  /** Registers this instance or changes its state. */
  announce(instance: ListedInstance): Promise<Outcome<void, string>>;
}

/** The list over HTTP with JSON. */
export class HttpInstanceList implements InstanceList {
  constructor(
    private readonly address: string,
    private readonly timeoutMs: number,
    private readonly localAddress?: string,
  ) {}

  async read(): Promise<Outcome<ListedInstance[], string>> {
    try {
      const body = await got(`${this.address}/instances`, this.options()).json<ListedInstance[]>();
      return ok(body);
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

  private options(): { timeout: { request: number }; retry: { limit: number }; localAddress?: string } {
    return { localAddress: this.localAddress, timeout: { request: this.timeoutMs }, retry: { limit: 0 } };
  }
}
