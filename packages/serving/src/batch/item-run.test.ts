import type { SlotDemand } from '@fighub/admission';
import { DecisionLog, Metrics, SystemClock, fail, notRun, ok } from '@fighub/core';
import { BlockedPrompts } from '@fighub/decisions';
import { describe, expect, it } from 'vitest';

import type { ItemOutput, ItemRunDependencies, ItemRunRequest } from './item-run.js';
import { runItem } from './item-run.js';

const ORIGIN = { service: 's', softwareVersion: 'v1' };
const ITEM = { itemId: 'i', target: '/t', headers: [], bodyBase64: '', tokens: 1 };

function requestWith(output: ItemOutput, clock: SystemClock): ItemRunRequest {
  return {
    jobId: 'j',
    heldJob: { acceptedVersion: undefined, learnedAtMs: 0 },
    host: 'h',
    item: ITEM,
    output,
    dueAtUnixMs: clock.nowUnixMs() + 60_000,
    excludedReplicaIds: [],
    onEvent: () => undefined,
    mayDispatch: () => true,
  };
}

/** Demands of one run of an item with five events, which gets no slot. Waits are cut short for `waits` demands. */
async function demandsOf(
  otherVersionsServe: boolean,
  waits: number,
  changes: Partial<ItemRunRequest> = {},
): Promise<SlotDemand[]> {
  const clock = new SystemClock();
  const metrics = new Metrics();
  const demands: SlotDemand[] = [];
  const dependencies = {
    view: {
      blockedPrompts: new BlockedPrompts(),
      routes: { match: () => ({ name: 'r', backends: [{ service: 's', weight: 1 }] }) },
      serves: () => true,
      servesOtherVersions: () => otherVersionsServe,
    },
    permits: {
      acquire: (demand: SlotDemand, signal: AbortSignal) => {
        demands.push(demand);
        const refusal = fail(notRun('overloaded', 'no slot'));
        if (demands.length > waits) return Promise.resolve(refusal);
        return new Promise((resolve) => signal.addEventListener('abort', () => resolve(refusal)));
      },
    },
    clock,
    metrics,
    log: new DecisionLog({ info: () => undefined, warn: () => undefined }, clock, metrics),
    random: () => 0,
  } as unknown as ItemRunDependencies;
  const output = { events: ['a'], lastEventId: 5, origin: ORIGIN, bytes: 0, spentMs: 20 };
  const request = { ...requestWith(output, clock), ...changes };
  await runItem(request, dependencies, new AbortController().signal);
  return demands;
}

describe('runItem', () => {
  it('keeps what an item has received in its demands while one version serves', async () => {
    const demands = await demandsOf(false, 1);
    expect(demands.map((demand) => [demand.softwareVersion, demand.receivedTokens])).toEqual([
      ['v1', 5],
      ['v1', 5],
    ]);
  });

  it('is judged by the parts of its prompt only, also when it has been broken off again and again', async () => {
    const item = { ...ITEM, sharedPartIds: ['p'] };
    const demands = await demandsOf(false, 0, { item, excludedReplicaIds: ['r1', 'r2', 'r3'] });
    expect(demands.map(({ sharedPartIds, requestDigest }) => [sharedPartIds, requestDigest])).toEqual([
      [['p'], undefined],
    ]);
  });

  it('asks for any slot, as for a new item, after waiting for its version beside another one', async () => {
    const demands = await demandsOf(true, 1);
    expect(demands.map((demand) => [demand.softwareVersion, demand.receivedTokens])).toEqual([
      ['v1', 5],
      [undefined, undefined],
    ]);
  });

  it('keeps the time that an item has spent when it starts anew, so that each loss costs at least as long a wait', async () => {
    const output: ItemOutput = { events: ['a'], lastEventId: 5, origin: ORIGIN, bytes: 0, spentMs: 20 };
    const clock = new SystemClock();
    const metrics = new Metrics();
    const slot = { permitId: 'p', replicaId: 'r', address: 'a', revoked: new AbortController().signal };
    const elsewhere = { service: 's', softwareVersion: 'v2' };
    const dependencies = {
      view: {
        blockedPrompts: new BlockedPrompts(),
        routes: { match: () => ({ name: 'r', backends: [{ service: 's', weight: 1 }] }) },
        serves: () => false,
        isUsable: () => true,
        originOf: () => elsewhere,
      },
      permits: { acquire: () => Promise.resolve(ok(slot)), release: () => undefined },
      transport: { send: () => Promise.resolve({ kind: 'broken', detail: '' }) },
      leavingAnnouncements: { onUnusableSlot: () => undefined },
      clock,
      metrics,
      log: new DecisionLog({ info: () => undefined, warn: () => undefined }, clock, metrics),
      random: () => 0,
    } as unknown as ItemRunDependencies;
    await runItem(requestWith(output, clock), dependencies, new AbortController().signal);
    expect(output.events).toEqual([]);
    expect(output.lastEventId).toBeUndefined();
    expect(output.spentMs).toBeGreaterThanOrEqual(20);
  });

  it('does not take a replica for unreachable when its job is stopped while the connection is established', async () => {
    const clock = new SystemClock();
    const metrics = new Metrics();
    const slot = { permitId: 'p', replicaId: 'r', address: 'a', revoked: new AbortController().signal };
    const ends: string[] = [];
    let mayDispatch = true;
    const dependencies = {
      view: {
        blockedPrompts: new BlockedPrompts(),
        routes: { match: () => ({ name: 'r', backends: [{ service: 's', weight: 1 }] }) },
        isUsable: () => true,
        originOf: () => ORIGIN,
      },
      permits: {
        acquire: () => Promise.resolve(ok(slot)),
        release: (_slot: unknown, report: { end: string }) => ends.push(report.end),
      },
      transport: {
        send: ({ mayBegin }: { mayBegin: () => boolean }) => {
          mayDispatch = false;
          return Promise.resolve({ kind: mayBegin() ? 'cancelled' : 'not_connected', detail: '' });
        },
      },
      clock,
      metrics,
      log: new DecisionLog({ info: () => undefined, warn: () => undefined }, clock, metrics),
      random: () => 0,
    } as unknown as ItemRunDependencies;
    const request = {
      ...requestWith({ events: [], bytes: 0, spentMs: 0 }, clock),
      mayDispatch: () => mayDispatch,
    };
    await runItem(request, dependencies, new AbortController().signal);
    expect(ends).toEqual(['cancelled']);
  });
});
