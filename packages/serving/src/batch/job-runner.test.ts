import { DecisionLog, ManualClock, Metrics } from '@fighub/core';
import type { RecordStore } from '@fighub/outside';
import type { MembershipRunner, PeerNode } from '@fighub/peers';
import { describe, expect, it } from 'vitest';

import type { BacklogView } from './backlog-view.js';
import type { InputCache } from './input-cache.js';
import type { ItemRunDependencies } from './item-run.js';
import { JobRunner } from './job-runner.js';

const MEMBERS = ['self', 'other'].map((instanceId) => ({
  instanceId,
  peerAddress: `${instanceId}:1`,
  schedules: true,
}));

function setup() {
  const handlers = new Map<string, (body: { jobId: string }) => void>();
  const notices: string[] = [];
  const node = {
    onNotice: (name: string, handler: (body: { jobId: string }) => void) => handlers.set(name, handler),
    onRequest: () => undefined,
    notify: (address: string, name: string, { jobId }: { jobId: string }) =>
      notices.push(`${name} ${jobId} to ${address}`),
  } as unknown as PeerNode;
  const members = {
    owners: () => MEMBERS,
    membership: { get: (id: string) => MEMBERS.find(({ instanceId }) => instanceId === id) },
  } as unknown as MembershipRunner;
  const clock = new ManualClock();
  const metrics = new Metrics();
  const log = new DecisionLog({ info: () => undefined, warn: () => undefined }, clock, metrics);
  const runner = new JobRunner(
    () => 'self',
    true,
    {} as RecordStore,
    {} as InputCache,
    {} as BacklogView,
    () => members,
    node,
    {} as ItemRunDependencies,
    clock,
    metrics,
    log,
  );
  return { runner, notices, offer: (jobId: string) => handlers.get('job.offered')?.({ jobId }) };
}

describe('JobRunner', () => {
  it('passes on a job that is offered to it after it has released its own', async () => {
    const { runner, notices, offer } = setup();
    await runner.drain();
    offer('j');
    expect(notices).toEqual(['job.offered j to other:1']);
  });
});
