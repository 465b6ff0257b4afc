/**
 * Spreads what the owners of pools have observed: prompts that crash replicas, and limits that replicas state. An owner tells
 * the coordinators, whose pushed views bring it to all other instances. Requests without an owner, and later owners, keep
 * to it as well.
 */
import type { Clock, DecisionLog, Metrics, System } from '@fighub/core';
import { LogCategory } from '@fighub/core';
import { coordinatorsOf } from '@fighub/decisions';
import type {
  BlockedPromptBody,
  MembershipRunner,
  ObservationsBody,
  PeerNode,
  RequestLimitBody,
} from '@fighub/peers';

import type { FleetView } from './fleet-view.js';

/** The owner tells the coordinators again after this time, since a notice may be lost and coordinators may change. */
const REPEAT_PERIOD_MS = 1_000;
/** It does so for this long after its last observation, and while a prompt is blocked. */
const REPEAT_FOR_MS = 5_000;

/** Where an instance learned of an observation. The values appear in logs. */
export const ObservationSource = { owner: 'owner', relay: 'relay' } as const;
export type ObservationSource = (typeof ObservationSource)[keyof typeof ObservationSource];

/** Components that record observations. */
export interface ObservationRecorder {
  readonly view: FleetView;
  readonly clock: Clock;
  readonly metrics: Metrics;
  readonly log: DecisionLog;
}

/** What this instance knows, for a message. */
export function observationsBody(
  { blockedPrompts, requestLimits }: FleetView,
  nowMs: number,
): ObservationsBody {
  const prompts = blockedPrompts
    .active(nowMs)
    .map(({ partIds, untilMs, blockCount }) => ({ partIds, leftMs: untilMs - nowMs, blockCount }));
  const limits = requestLimits.all().map(({ replicaId, requestsPerSecond, observedAtMs }) => ({
    replicaId,
    ...(requestsPerSecond === undefined ? {} : { requestsPerSecond }),
    ageMs: nowMs - observedAtMs,
  }));
  return {
    blockedPrompts: prompts.length > 0 ? prompts : undefined,
    requestLimits: limits.length > 0 ? limits : undefined,
  };
}

/** Records observations of another instance in the fleet view. */
export function recordObservations(
  { blockedPrompts, requestLimits }: ObservationsBody,
  from: ObservationSource,
  recorder: ObservationRecorder,
): void {
  blockedPrompts?.forEach((prompt) => recordBlockedPrompt(prompt, from, recorder));
  requestLimits?.forEach((limit) => recordRequestLimit(limit, from, recorder));
}

function recordBlockedPrompt(
  { partIds, leftMs, blockCount }: BlockedPromptBody,
  from: ObservationSource,
  { view, clock, metrics, log }: ObservationRecorder,
): void {
  const nowMs = clock.monotonicMs();
  if (!view.blockedPrompts.add({ partIds, untilMs: nowMs + leftMs, blockCount }, nowMs)) return;
  metrics.count('prompts_blocked_elsewhere');
  log.record(LogCategory.state, 'prompt_blocked', { partIds, blockCount, forMs: Math.round(leftMs), from });
}

function recordRequestLimit(
  { replicaId, requestsPerSecond, ageMs }: RequestLimitBody,
  from: ObservationSource,
  { view, clock, log }: ObservationRecorder,
): void {
  const before = view.requestLimits.of(replicaId);
  view.requestLimits.merge({ replicaId, requestsPerSecond, observedAtMs: clock.monotonicMs() - ageMs });
  const after = view.requestLimits.of(replicaId);
  if (after !== before)
    log.record(LogCategory.state, 'request_limit_changed', { replicaId, requestsPerSecond: after, from });
}

/** Tells the coordinators what pools of this instance have observed. */
export class ObservationExchange implements System {
  readonly name = 'observation exchange';
  readonly busy = false;
  private lastObservedAtMs = Number.NEGATIVE_INFINITY;
  private nextRepeatMs = 0;
  /** Version of the observations that were last told. */
  private toldVersion = 0;

  constructor(
    private readonly selfId: string,
    private readonly recorder: ObservationRecorder,
    private readonly members: () => MembershipRunner,
    private readonly node: PeerNode,
  ) {
    node.onNotice('replicas.observed', (body) => recordObservations(body, ObservationSource.owner, recorder));
  }

  /** To be called when a pool of this instance has blocked a prompt, or learned what a replica states about its limit. */
  onObserved(): void {
    const nowMs = this.recorder.clock.monotonicMs();
    this.lastObservedAtMs = nowMs;
    if (this.version !== this.toldVersion) this.tell(nowMs);
  }

  run(nowMs: number): void {
    if (nowMs < this.nextRepeatMs || !Number.isFinite(this.lastObservedAtMs)) return;
    const isRecent = nowMs - this.lastObservedAtMs < REPEAT_FOR_MS;
    if (isRecent || this.recorder.view.blockedPrompts.active(nowMs).length > 0) this.tell(nowMs);
  }

  private get version(): number {
    const { blockedPrompts, requestLimits } = this.recorder.view;
    return blockedPrompts.version + requestLimits.version;
  }

  private tell(nowMs: number): void {
    this.nextRepeatMs = nowMs + REPEAT_PERIOD_MS;
    this.toldVersion = this.version;
    const addresses = coordinatorsOf(this.members().owners())
      .filter((member) => member.instanceId !== this.selfId)
      .map((member) => member.peerAddress);
    this.node.notifyAll(addresses, 'replicas.observed', observationsBody(this.recorder.view, nowMs));
  }
}
