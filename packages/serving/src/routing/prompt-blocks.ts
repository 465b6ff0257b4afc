/**
 * Spreads the blocks of prompts that crash replicas. The owner of a pool finds them and tells the coordinators, whose
 * pushed views bring them to all other instances. Requests without an owner, and later owners, keep to them as well.
 */
import type { Clock, DecisionLog, Metrics, System } from '@fighub/core';
import { LogCategory } from '@fighub/core';
import { coordinatorsOf } from '@fighub/decisions';
import type { BlockedPromptBody, MembershipRunner, PeerNode } from '@fighub/peers';

import type { FleetView } from './fleet-view.js';

/** The owner tells the coordinators again after this time, since a notice may be lost and coordinators may change. */
const REPEAT_PERIOD_MS = 1_000;

/** Where an instance learned of a block. The values appear in logs. */
export const BlockSource = { owner: 'owner', relay: 'relay' } as const;
export type BlockSource = (typeof BlockSource)[keyof typeof BlockSource];

/** Components that record blocks. */
export interface BlockRecorder {
  readonly view: FleetView;
  readonly clock: Clock;
  readonly metrics: Metrics;
  readonly log: DecisionLog;
}

/** The blocks that hold now, for a message. */
export function blockedPromptBodies(view: FleetView, nowMs: number): BlockedPromptBody[] {
  return view.blockedPrompts
    .active(nowMs)
    .map(({ partIds, untilMs, blockCount }) => ({ partIds, leftMs: untilMs - nowMs, blockCount }));
}

/** Records blocks of another instance in the fleet view. */
export function recordBlockedPrompts(
  prompts: readonly BlockedPromptBody[],
  from: BlockSource,
  { view, clock, metrics, log }: BlockRecorder,
): void {
  const nowMs = clock.monotonicMs();
  prompts.forEach(({ partIds, leftMs, blockCount }) => {
    if (!view.blockedPrompts.add({ partIds, untilMs: nowMs + leftMs, blockCount }, nowMs)) return;
    metrics.count('prompts_blocked_elsewhere');
    log.record(LogCategory.state, 'prompt_blocked', { partIds, blockCount, forMs: Math.round(leftMs), from });
  });
}

/** Tells the coordinators of the blocks that pools of this instance have found. */
export class PromptBlocks implements System {
  readonly name = 'prompt blocks';
  readonly busy = false;
  /** Whether a pool of this instance has blocked a prompt. */
  private hasFound = false;
  private nextRepeatMs = 0;

  constructor(
    private readonly selfId: string,
    private readonly recorder: BlockRecorder,
    private readonly members: () => MembershipRunner,
    private readonly node: PeerNode,
  ) {
    node.onNotice('prompts.blocked', ({ prompts }) =>
      recordBlockedPrompts(prompts, BlockSource.owner, recorder),
    );
  }

  /** To be called when a pool of this instance has blocked a prompt. */
  onFound(): void {
    this.hasFound = true;
    this.announce(this.recorder.clock.monotonicMs());
  }

  run(nowMs: number): void {
    if (this.hasFound && nowMs >= this.nextRepeatMs) this.announce(nowMs);
  }

  private announce(nowMs: number): void {
    this.nextRepeatMs = nowMs + REPEAT_PERIOD_MS;
    const prompts = blockedPromptBodies(this.recorder.view, nowMs);
    this.hasFound = prompts.length > 0;
    if (!this.hasFound) return;
    const addresses = coordinatorsOf(this.members().owners())
      .filter((member) => member.instanceId !== this.selfId)
      .map((member) => member.peerAddress);
    this.node.notifyAll(addresses, 'prompts.blocked', { prompts });
  }
}
