import fc from 'fast-check';
import { describe, expect, it } from 'vitest';

import { OrganisationLimits } from './organisation-limits.js';
import { PoolSlots } from './pool-slots.js';
import type { Permit, PoolReplica, SlotRequest } from './pool-types.js';
import { PrefixIndex } from './prefix-index.js';
import { isReporting, scoreOf, usableSlots } from './replica-choice.js';
import { AttemptEnd } from './replica-health.js';

const REVOKE_GRACE_MS = 300;

/** The same decisions by scans of all replicas and permits. */
class ScanningModel {
  constructor(
    private readonly slots: PoolSlots,
    private readonly prefixes: PrefixIndex,
  ) {}

  occupied({ replicaId, drift }: PoolReplica, nowMs: number): number {
    const inFlight = this.slots.permits
      .all()
      .filter((permit) => permit.replicaId === replicaId)
      .filter(({ revokedUntilMs }) => revokedUntilMs === undefined || nowMs >= revokedUntilMs);
    return Math.max(0, inFlight.length + drift.balance(nowMs));
  }

  total(): number {
    return this.slots.replicas
      .all()
      .filter((replica) => !replica.leaving)
      .reduce((sum, replica) => sum + replica.limit.places, 0);
  }

  freeSlots(exceptReplicaId: string | undefined, nowMs: number): number {
    return this.slots.replicas
      .all()
      .filter((replica) => !replica.leaving && replica.replicaId !== exceptReplicaId)
      .filter((replica) => replica.health.isAvailable(nowMs))
      .reduce((sum, replica) => sum + replica.limit.places - this.occupied(replica, nowMs), 0);
  }

  drift(nowMs: number): number {
    return this.slots.replicas.all().reduce((sum, { drift }) => sum + drift.balance(nowMs), 0);
  }

  pickFreeReplica(request: SlotRequest, except: string | undefined, nowMs: number): string | undefined {
    const replicas = this.slots.replicas.all().filter((replica) => replica.replicaId !== except);
    const anyReporting = replicas.some(isReporting);
    const available = replicas
      .filter((replica) => !anyReporting || isReporting(replica))
      .filter((replica) => !replica.leaving && replica.health.isAvailable(nowMs));
    const notExcluded = available.filter(
      (replica) => !request.excludedReplicaIds.includes(replica.replicaId),
    );
    return (notExcluded.length > 0 ? notExcluded : available)
      .map((replica) => ({ replica, streams: this.occupied(replica, nowMs) }))
      .filter(({ replica, streams }) => streams < usableSlots(replica))
      .map(({ replica, streams }) => ({
        replica,
        score: scoreOf(replica, streams, request, this.prefixes),
      }))
      .sort((a, b) => a.score - b.score || a.replica.position - b.replica.position)[0]?.replica.replicaId;
  }

  pickVictim(request: SlotRequest, except: string | undefined, nowMs: number): string | undefined {
    const isOverdue = (permit: Permit): number => (permit.request.deadlineMs <= nowMs ? 1 : 0);
    const ranked = this.slots.permits
      .all()
      .filter((permit) => permit.request.workClass === 'batch' && permit.request.resumable)
      .filter((permit) => permit.revokedUntilMs === undefined)
      .filter((permit) => {
        const replica = this.slots.replicas.get(permit.replicaId);
        return (
          replica !== undefined &&
          !replica.leaving &&
          replica.replicaId !== except &&
          replica.health.isAvailable(nowMs) &&
          !request.excludedReplicaIds.includes(replica.replicaId)
        );
      })
      .sort(
        (a, b) =>
          isOverdue(b) - isOverdue(a) ||
          b.request.deadlineMs - a.request.deadlineMs ||
          b.grantedAtMs - a.grantedAtMs,
      );
    const caching = ranked.find((permit) => this.prefixes.holds(request.prefixDigest, permit.replicaId));
    return (caching ?? ranked[0])?.permitId;
  }
}

const operation = fc.record({
  kind: fc.constantFrom(
    'grant',
    'grant',
    'grant',
    'take',
    'revoke',
    'load',
    'end',
    'leave',
    'return',
    'reading',
    'renew',
    'expire',
    'limit',
    'replace',
    'wait',
  ),
  replica: fc.nat(4),
  number: fc.nat(9),
  batch: fc.boolean(),
  resumable: fc.boolean(),
  prefix: fc.constantFrom('', 'p', 'q'),
  excluded: fc.uniqueArray(fc.nat(4), { maxLength: 3 }),
  except: fc.option(fc.nat(4), { nil: undefined }),
});

describe('PoolSlots', () => {
  it('decides as scans of all replicas and permits do, after any sequence of changes', () => {
    fc.assert(
      fc.property(fc.array(operation, { maxLength: 80 }), (operations) => {
        const prefixes = new PrefixIndex();
        const slots = new PoolSlots(new OrganisationLimits());
        const model = new ScanningModel(slots, prefixes);
        const infos = [0, 1, 2, 3, 4].map((index) => ({
          replicaId: `r${String(index)}`,
          address: `a${String(index)}`,
          failureDomain: `d${String(index % 2)}`,
          maxConcurrency: 1 + (index % 3),
          leaving: false,
        }));
        slots.setReplicas(infos);
        let nowMs = 0;
        operations.forEach(({ kind, replica, number, batch, resumable, prefix, excluded, except }, index) => {
          nowMs += number;
          const replicaId = `r${String(replica)}`;
          const exceptId = except === undefined ? undefined : `r${String(except)}`;
          const request: SlotRequest = {
            requestId: `q${String(index)}`,
            organisation: 'o',
            costTokens: 1,
            deadlineMs: nowMs + 100 * number,
            holder: `h${String(number % 2)}`,
            failureDomain: `d${String(number % 2)}`,
            workClass: batch ? 'batch' : 'online',
            prefixDigest: prefix,
            sharedPartIds: [],
            excludedReplicaIds: excluded.map((id) => `r${String(id)}`),
            resumable,
            alone: false,
            enqueuedAtMs: nowMs,
          };
          const picked = slots.pickFreeReplica(request, prefixes, exceptId, nowMs);
          const victim = slots.pickVictim(request, prefixes, exceptId, nowMs);
          expect(picked?.replicaId).toBe(model.pickFreeReplica(request, exceptId, nowMs));
          expect(victim?.permitId).toBe(model.pickVictim(request, exceptId, nowMs));
          expect(slots.freeSlots(exceptId, nowMs)).toBe(model.freeSlots(exceptId, nowMs));
          expect([slots.total(nowMs), slots.drift(nowMs)]).toEqual([model.total(), model.drift(nowMs)]);
          const permits = slots.permits.all();
          const permit = permits[number % Math.max(1, permits.length)];
          if (kind === 'grant' && picked) {
            const expiresAtMs = nowMs + 400;
            const permitId = `p${String(index)}`;
            slots.add({ permitId, request, replicaId: picked.replicaId, grantedAtMs: nowMs, expiresAtMs });
            prefixes.add(prefix, picked.replicaId, nowMs);
          }
          if (kind === 'take' && permit) slots.permitTable.take(permit.permitId);
          if (kind === 'revoke' && victim) slots.permitTable.revoke(victim, nowMs + REVOKE_GRACE_MS);
          if (kind === 'load') slots.observeLoad({ replicaId, running: number, waiting: 0 }, nowMs);
          if (kind === 'end')
            slots.observeEnd(
              replicaId,
              number % 2 === 0 ? AttemptEnd.broken : AttemptEnd.completed,
              nowMs,
              nowMs,
            );
          if (kind === 'leave') slots.markLeaving(replicaId);
          if (kind === 'return') slots.setReplicas(infos);
          if (kind === 'reading') slots.recordLoadReading(replicaId, number % 2 === 0 ? undefined : number);
          if (kind === 'renew') slots.permitTable.renew(request.holder, permit ? [permit] : [], nowMs);
          if (kind === 'expire') slots.permitTable.dropExpired(nowMs);
          if (kind === 'limit')
            slots.change(replicaId, ({ limit }) => {
              const measured = { firstTokenMs: number, betweenTokensMs: 0 };
              limit.observe(measured, { firstTokenTargetMs: 5, betweenTokensTargetMs: 5 }, 0, nowMs);
            });
          if (kind === 'replace')
            slots.setReplicas(
              infos
                .filter((info) => info.replicaId !== replicaId || number % 2 === 0)
                .map((info) =>
                  info.replicaId === replicaId ? { ...info, address: `a${String(index)}` } : info,
                ),
            );
          if (kind === 'wait') nowMs += 100 * number;
        });
      }),
      { seed: 11, numRuns: 400 },
    );
  });
});
