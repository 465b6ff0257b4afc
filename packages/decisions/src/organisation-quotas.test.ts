import fc from 'fast-check';
import { describe, expect, it } from 'vitest';

import type { OrganisationQuota } from './organisation-quotas.js';
import { OrganisationQuotas, QuotaShares } from './organisation-quotas.js';

const TOLERANCE = { windowMs: 5_000, overageFraction: 0.1, slackRequests: 20 };

function quotaOf(requestsPerSecond: number, burstRequests: number): OrganisationQuota {
  return { requestsPerSecond, burstRequests, tolerance: TOLERANCE };
}

/** What the users allow in any window. */
function allowedRequests({ requestsPerSecond, burstRequests }: OrganisationQuota): number {
  const quota = (requestsPerSecond * TOLERANCE.windowMs) / 1_000 + burstRequests;
  return quota * (1 + TOLERANCE.overageFraction) + TOLERANCE.slackRequests;
}

/** The most requests in any window. `sentAtMs` is sorted. */
function mostInWindow(sentAtMs: readonly number[]): number {
  return sentAtMs.reduce((most, fromMs, index) => {
    const after = sentAtMs.slice(index).findIndex((atMs) => atMs >= fromMs + TOLERANCE.windowMs);
    return Math.max(most, after < 0 ? sentAtMs.length - index : after);
  }, 0);
}

/** Asks every 5 ms from `fromMs` to `untilMs` and returns when requests were granted. */
function press(
  quotas: OrganisationQuotas,
  quota: OrganisationQuota,
  fromMs: number,
  untilMs: number,
): number[] {
  return Array.from({ length: Math.ceil((untilMs - fromMs) / 5) }, (_, step) => fromMs + 5 * step).filter(
    (nowMs) => {
      if (quotas.waitMs('fox', quota, 0, nowMs) > 0) return false;
      quotas.take('fox', quota, nowMs);
      return true;
    },
  );
}

describe('OrganisationQuotas', () => {
  it('grants all requests within the quota and says when the next one may come', () => {
    const quotas = new OrganisationQuotas();
    const quota = quotaOf(10, 10);
    quotas.start(0);
    expect(press(quotas, quota, 60_000, 61_000).length).toBeGreaterThanOrEqual(19);
    expect(quotas.waitMs('fox', quota, 0, 60_998)).toBeGreaterThan(0);
    expect(quotas.waitMs('fox', quota, 0, 60_998)).toBeLessThanOrEqual(100);
    expect(quotas.waitMs('hen', quota, 0, 60_998)).toBe(0);
  });

  it('counts requests that wait for a slot as granted', () => {
    const quotas = new OrganisationQuotas();
    quotas.start(0);
    expect(quotas.waitMs('fox', quotaOf(1, 4), 3, 60_000)).toBe(0);
    expect(quotas.waitMs('fox', quotaOf(1, 4), 4, 60_000)).toBeGreaterThan(0);
  });

  it('does not refuse an organisation within its usual demand after the owner has changed', () => {
    const quotas = new OrganisationQuotas();
    quotas.start(0);
    expect(quotas.waitMs('fox', quotaOf(1.5, 1.5), 0, 1)).toBe(0);
  });

  it('stays within the quota in any window, whenever owners change and however much is asked', () => {
    fc.assert(
      fc.property(
        fc.record({
          rate: fc.double({ min: 0.5, max: 150, noNaN: true }),
          burst: fc.integer({ min: 0, max: 150 }),
          // Longer than half a window, since two owners may fail in one window but not more.
          ownersForMs: fc.array(fc.integer({ min: 2_500, max: 12_000 }), { minLength: 1, maxLength: 5 }),
        }),
        ({ rate, burst, ownersForMs }) => {
          const quota = quotaOf(rate, burst);
          const { sent } = ownersForMs.reduce<{ nowMs: number; sent: number[] }>(
            ({ nowMs, sent: before }, forMs) => ({
              nowMs: nowMs + forMs,
              sent: [...before, ...press(new OrganisationQuotas(), quota, nowMs, nowMs + forMs)],
            }),
            { nowMs: 0, sent: [] },
          );
          expect(mostInWindow(sent)).toBeLessThanOrEqual(allowedRequests(quota));
        },
      ),
      { seed: 41, numRuns: 60 },
    );
  });
});

describe('QuotaShares', () => {
  it('keeps all instances together, beside an owner that grants the whole quota, within what is allowed', () => {
    [1, 10, 55, 330].forEach((count) => {
      const instanceIds = Array.from({ length: count }, (_, index) => `i${String(index)}`);
      [quotaOf(1.5, 1.5), quotaOf(30, 30), quotaOf(123, 123)].forEach((quota) => {
        const owner = new OrganisationQuotas();
        owner.start(-60_000);
        const fleet = { instanceIds, membershipVersion: 1 };
        const direct = instanceIds.flatMap((selfId) => {
          const shares = new QuotaShares(selfId);
          return Array.from({ length: 100 }, (_, step) => 50 * step).filter((nowMs) =>
            shares.tryTake('fox', quota, fleet, nowMs),
          );
        });
        const sent = [...press(owner, quota, 0, 5_000), ...direct].sort((a, b) => a - b);
        expect(mostInWindow(sent)).toBeLessThanOrEqual(allowedRequests(quota));
      });
    });
  });

  it('allows a request again when the window has passed', () => {
    const shares = new QuotaShares('a');
    const fleet = { instanceIds: ['a', 'b', 'c', 'd', 'e', 'f', 'g', 'h', 'i', 'j'], membershipVersion: 1 };
    const quota = quotaOf(1, 1);
    const taken = [0, 1, 2, 4_999, 5_001].map((nowMs) => shares.tryTake('fox', quota, fleet, nowMs));
    expect(taken).toEqual([true, false, false, false, true]);
  });
});
