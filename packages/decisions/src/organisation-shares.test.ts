import { describe, expect, it } from 'vitest';

import type { OrganisationQuota } from './organisation-quotas.js';
import { PoolScheduler } from './pool-scheduler.js';
import type { Permit, PoolOutput, PoolPolicy, SlotRequest } from './pool-types.js';
import { AttemptEnd } from './replica-health.js';
import { slotRequest } from './testing/slot-request.js';

/** The load of the users' time sheets: square waves, and one large organisation at 7.5 times its usual. */
const ORGANISATIONS = 71;
const REPLICAS = 20;
const SLOTS = 8;
const STREAM_MS = 500;
const TARGET_MS = 225;
const REQUESTS_PER_SECOND = 158;
const CREST = { factor: 1.85, fromMs: 3_000, periodMs: 5_200 };
const TROUGH_FACTOR = 0.38;
const LOUD_FACTOR = 7.5;
const LOUD_SHARE = 0.15;
/** Quotas are this many times the usual demand. */
const QUOTA_FACTOR = 1.6;
const DURATION_MS = 20_800;
const STEP_MS = 5;
const LOUD = 'o0';

/** Mean requests a second of an organisation. */
function usualRate(index: number): number {
  const share = index === 0 ? LOUD_SHARE : (1 - LOUD_SHARE) / (ORGANISATIONS - 1);
  return REQUESTS_PER_SECOND * share;
}

function quotaOf(organisation: string): OrganisationQuota {
  const requestsPerSecond = usualRate(Number(organisation.slice(1))) * QUOTA_FACTOR;
  const tolerance = { windowMs: 5_000, overageFraction: 0.1, slackRequests: 20 };
  return { requestsPerSecond, burstRequests: requestsPerSecond, tolerance };
}

interface Outcome {
  /** Requests of the organisations other than the loud one. */
  readonly asked: number;
  readonly refused: number;
  /** Their waits, in milliseconds, sorted. */
  readonly waitsMs: readonly number[];
  readonly loudGranted: number;
}

/** Plays the load, in which the loud organisation sends `loudFactor` times its usual. */
function play(loudFactor: number): Outcome {
  const policy: PoolPolicy = {
    reserveMaxFraction: 0.08,
    targets: { firstTokenTargetMs: Infinity, betweenTokensTargetMs: Infinity },
    weightOf: () => 1,
    limitsOf: () => ({}),
    quotaOf,
  };
  const running: Permit[] = [];
  const granted: Permit[] = [];
  const refused: SlotRequest[] = [];
  const output: PoolOutput = {
    granted: (permit) => {
      running.push(permit);
      granted.push(permit);
    },
    refused: (request) => refused.push(request),
    revoked: () => undefined,
    promptFound: () => undefined,
  };
  const scheduler = new PoolScheduler('s@', 'owner', policy, output);
  scheduler.setReplicas(
    Array.from({ length: REPLICAS }, (_, index) => ({
      replicaId: `r${String(index)}`,
      address: `r${String(index)}`,
      failureDomain: 'd',
      maxConcurrency: SLOTS,
      leaving: false,
    })),
  );
  scheduler.run(-60_000);
  const due = Array.from({ length: ORGANISATIONS }, () => 0);
  let asked = 0;
  for (let nowMs = 0; nowMs < DURATION_MS; nowMs += STEP_MS) {
    while (running[0] && nowMs - running[0].grantedAtMs >= STREAM_MS) {
      const ended = running.shift();
      if (ended)
        scheduler.release({ permitId: ended.permitId, end: AttemptEnd.completed, tokens: 20 }, nowMs);
    }
    const factor = nowMs % CREST.periodMs >= CREST.fromMs ? CREST.factor : TROUGH_FACTOR;
    due.forEach((sum, index) => {
      const loud = index === 0 ? loudFactor : 1;
      due[index] = sum + (usualRate(index) * factor * loud * STEP_MS) / 1_000;
      while ((due[index] ?? 0) >= 1) {
        due[index] = (due[index] ?? 0) - 1;
        asked += index === 0 ? 0 : 1;
        const id = `${String(index)}-${String(nowMs)}-${String(due[index])}`;
        const times = { startByMs: nowMs + TARGET_MS, deadlineMs: nowMs + 1_500, enqueuedAtMs: nowMs };
        scheduler.enqueue(slotRequest(id, { organisation: `o${String(index)}`, ...times }), nowMs);
      }
    });
    scheduler.run(nowMs);
  }
  const others = granted.filter(({ request }) => request.organisation !== LOUD);
  return {
    asked,
    refused: refused.filter(({ organisation }) => organisation !== LOUD).length,
    waitsMs: others
      .map(({ request, grantedAtMs }) => grantedAtMs - request.enqueuedAtMs)
      .sort((a, b) => a - b),
    loudGranted: granted.length - others.length,
  };
}

function percentile(sorted: readonly number[], part: number): number {
  return sorted[Math.floor((sorted.length - 1) * part)] ?? 0;
}

describe('one organisation at 7.5 times its usual beside 70 others', () => {
  const quiet = play(1);
  const loud = play(LOUD_FACTOR);

  it('gets its quota and no more', () => {
    const { requestsPerSecond, burstRequests } = quotaOf(LOUD);
    const quota = (requestsPerSecond * DURATION_MS) / 1_000 + burstRequests;
    expect(loud.loudGranted).toBeLessThanOrEqual(quota + 1);
    expect(loud.loudGranted).toBeGreaterThan(quota * 0.6);
  });

  it('does not make the others wait past their target, nor has them refused', () => {
    expect(quiet.refused).toBe(0);
    expect(loud.refused).toBeLessThanOrEqual(loud.asked * 0.01);
    expect(percentile(loud.waitsMs, 0.99)).toBeLessThanOrEqual(TARGET_MS);
  });
});
