import { Metrics, fail, ok } from '@fighub/core';
import type { MemberUpdate } from '@fighub/decisions';
import { afterEach, beforeEach, describe, expect, it, vi } from 'vitest';

import { MembershipRunner } from './membership-runner.js';
import { PeerFailure } from './peer-messages.js';
import type { PeerNode } from './peer-node.js';

const OPTIONS = { probePeriodMs: 700, probeTimeoutMs: 300, suspicionMs: 1_500, indirectProbes: 2 };
const NO_TABLE = { tableDigest: () => ({ revisions: [] }), onPeerTable: () => undefined };

type Handler = (body: unknown) => unknown;

/** Instances that exchange messages in this process; `reaches` decides which of them arrive. */
class Instances {
  readonly runners = new Map<string, MembershipRunner>();
  reaches: (from: string, to: string) => boolean = () => true;
  /** Pairs of instances between which a message was sent. */
  readonly pairs = new Set<string>();
  private readonly handlers = new Map<string, Handler>();

  /** All know each other at the start, but for the instance `unaware`, which does not know `missing`. */
  constructor(count: number, gap?: { unaware: string; missing: string }) {
    Array.from({ length: count }, (_, index) => `m${String(index)}`).forEach((id, index) => {
      const self = updateAt(id);
      const random = (): number => (Math.abs(Math.sin(index * 7_919 + this.drawn++)) * 10_000) % 1;
      this.runners.set(
        id,
        new MembershipRunner(self, OPTIONS, this.nodeOf(id), NO_TABLE, new Metrics(), random),
      );
    });
    const all = [...this.runners.values()].map(({ membership }) => membership.owners()).flat();
    this.runners.forEach(({ membership }, id) => {
      const known = all.filter(({ instanceId }) => id !== gap?.unaware || instanceId !== gap.missing);
      membership.mergeSnapshot(known, performance.now());
    });
    this.runners.forEach((runner) => runner.start());
  }

  private drawn = 0;

  runner(id: string): MembershipRunner {
    const found = this.runners.get(id);
    if (!found) throw new Error(`no instance ${id}`);
    return found;
  }

  stop(): void {
    this.runners.forEach((runner) => runner.stop());
  }

  /** The instances, `except` left out, that do not count `id` as live. */
  withoutLive(id: string, except: readonly string[] = []): string[] {
    return [...this.runners.keys()].filter(
      (key) => !except.includes(key) && !this.runner(key).membership.isLive(id),
    );
  }

  private nodeOf(from: string): PeerNode {
    const deliver = (to: string, name: string, body: unknown): unknown => {
      this.pairs.add(`${from} ${to}`);
      return this.reaches(from, to) ? this.handlers.get(`${to} ${name}`)?.(body) : undefined;
    };
    return {
      onRequest: (name: string, handler: Handler) => this.handlers.set(`${from} ${name}`, handler),
      onNotice: (name: string, handler: Handler) => this.handlers.set(`${from} ${name}`, handler),
      detach: (_name: string, task: Promise<unknown>) => void task,
      notify: deliver,
      notifyAll: (addresses: readonly string[], name: string, body: unknown) =>
        addresses.forEach((to) => deliver(to, name, body)),
      request: async (to: string, name: string, body: unknown) => {
        const value = await deliver(to, name, body);
        return value === undefined ? fail(PeerFailure.timeout) : ok(value);
      },
    } as unknown as PeerNode;
  }
}

function updateAt(instanceId: string): MemberUpdate {
  return { instanceId, failureDomain: 'd', peerAddress: instanceId, state: 'alive', incarnation: 1 };
}

describe('MembershipRunner', () => {
  let instances: Instances;

  beforeEach(() => vi.useFakeTimers({ toFake: ['setTimeout', 'clearTimeout', 'performance'] }));
  afterEach(() => {
    instances.stop();
    vi.useRealTimers();
  });

  it('uses few connections in a fleet at rest', async () => {
    instances = new Instances(195);
    await vi.advanceTimersByTimeAsync(60_000);
    expect(instances.pairs.size / 195).toBeLessThanOrEqual(8);
  });

  it('declares an instance dead everywhere within 8 s of its failure', async () => {
    instances = new Instances(195);
    instances.reaches = (from, to) => from !== 'm7' && to !== 'm7';
    await vi.advanceTimersByTimeAsync(8_000);
    expect(instances.withoutLive('m7', ['m7']).length).toBe(194);
  });

  it('finds all members again after a partition that separated every third instance', async () => {
    instances = new Instances(60);
    const isNear = (id: string): boolean => Number(id.slice(1)) % 3 === 0;
    instances.reaches = (from, to) => isNear(from) === isNear(to);
    await vi.advanceTimersByTimeAsync(30_000);
    expect(instances.withoutLive('m0').length).toBe(40);
    instances.reaches = () => true;
    await instances.runner('m1').seedAddresses(['m0']);
    await vi.advanceTimersByTimeAsync(20_000);
    const missing = [...instances.runners.keys()].flatMap((id) => instances.withoutLive(id));
    expect(missing).toEqual([]);
  });

  it('learns from the list of a neighbour of a member whose updates were lost', async () => {
    const [missing, unaware] = ['m9', 'm5'];
    instances = new Instances(30, { unaware, missing });
    // The two do not probe each other, and no other instance has anything to pass on.
    const neighboursOf = (id: string): string[] =>
      instances
        .runner(id)
        .membership.neighbours()
        .map(({ instanceId }) => instanceId);
    expect([...neighboursOf(missing), ...neighboursOf(unaware)]).not.toContain(unaware);
    expect(instances.withoutLive(missing)).toEqual([unaware]);
    await vi.advanceTimersByTimeAsync(20_000);
    expect(instances.withoutLive(missing)).toEqual([]);
  });

  it('corrects an instance that alone counts a member as dead', async () => {
    instances = new Instances(30);
    instances
      .runner('m5')
      .membership.merge([{ ...updateAt('m9'), state: 'dead', incarnation: 1 }], performance.now());
    await vi.advanceTimersByTimeAsync(20_000);
    expect(instances.withoutLive('m9')).toEqual([]);
  });
});
