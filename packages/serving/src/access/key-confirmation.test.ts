import type { RoutingConfiguration } from '@fighub/core';
import { DecisionLog, ManualClock, Metrics, fail, keyDigest, ok } from '@fighub/core';
import { StoreErrorKind } from '@fighub/outside';
import type { ConfigurationProof, MembershipRunner, PeerNode } from '@fighub/peers';
import { describe, expect, it } from 'vitest';

import type { FleetSource } from '../routing/fleet-source.js';
import { FleetView } from '../routing/fleet-view.js';
import { AccessControl } from './access-control.js';
import { KeyConfirmation } from './key-confirmation.js';

/** The users allow this time until a withdrawn key is refused everywhere. */
const LIMIT_MS = 5_000;
const KEY = 'key-fox';

function configuration(version: number, keys: readonly string[]): RoutingConfiguration {
  return {
    version,
    routes: [],
    services: [],
    limits: { maxHeaderBytes: 1, maxBodyBytes: 1, headerTimeoutMs: 1, idleTimeoutMs: 1 },
    organisations: [{ name: 'fox', keyDigests: keys.map((key) => keyDigest(key)), burstRequests: 0 }],
  };
}

/** An instance whose answers from the store and from a coordinator the test sets. */
function setup(isCoordinator = false) {
  const clock = new ManualClock();
  const metrics = new Metrics();
  const log = new DecisionLog({ info: () => undefined, warn: () => undefined }, clock, metrics);
  const view = new FleetView();
  view.applyConfiguration(configuration(1, [KEY]));
  const outside: {
    store?: RoutingConfiguration;
    rejection?: string;
    peer?: ConfigurationProof;
    answerTakesMs: number;
  } = { answerTakesMs: 0 };
  let prove: () => ConfigurationProof = () => ({ version: 0 });
  const source = {
    currentConfiguration: () =>
      Promise.resolve(
        outside.store || outside.rejection !== undefined
          ? ok({ configuration: outside.store, rejection: outside.rejection, revision: 1 })
          : fail({ kind: StoreErrorKind.unavailable, detail: 'down' }),
      ),
  } as unknown as FleetSource;
  const node = {
    onRequest: (_name: string, handler: () => ConfigurationProof) => (prove = handler),
    detach: (_name: string, task: Promise<unknown>) => void task,
    request: () => {
      clock.advance(outside.answerTakesMs);
      return Promise.resolve(outside.peer ? ok(outside.peer) : fail('timeout'));
    },
  } as unknown as PeerNode;
  const members = [
    { instanceId: 'self', failureDomain: 'd', peerAddress: 'self', schedules: isCoordinator },
    { instanceId: 'peer', failureDomain: 'd', peerAddress: 'peer', schedules: true },
  ];
  const confirmation = new KeyConfirmation({
    view,
    source,
    selfId: 'self',
    withdrawalLimitMs: LIMIT_MS,
    members: () => ({ owners: () => members }) as unknown as MembershipRunner,
    node,
    apply: (newer) => void view.applyConfiguration(newer),
    fetchFrom: () => Promise.resolve(),
    clock,
    metrics,
    log,
    random: () => 0,
  });
  const standing = { mayRefuseForGood: true };
  const access = new AccessControl(view, confirmation, metrics, log, () => standing.mayRefuseForGood);
  const renew = async (): Promise<void> => {
    confirmation.run(clock.monotonicMs());
    await new Promise((resolve) => setTimeout(resolve, 0));
  };
  return { standing, clock, view, outside, confirmation, access, renew, prove: () => prove() };
}

describe('KeyConfirmation', () => {
  it('refuses requests with keys as not run, and serves anonymous ones, until it has a proof', async () => {
    const { access, outside, renew } = setup();
    expect(access.authenticate(KEY, 'q')).toMatchObject({
      ok: false,
      error: { code: 'keys_unconfirmed', run: 'not_run' },
    });
    expect(access.authenticate(undefined, 'q', { anonymous: true })).toMatchObject({ ok: true });
    outside.peer = { version: 1, ageMs: 0 };
    await renew();
    expect(access.authenticate(KEY, 'q')).toMatchObject({ ok: true, value: { name: 'fox' } });
  });

  it('accepts no key later than the limit after the last moment at which it knew the newest keys', async () => {
    const { access, clock, outside, renew } = setup();
    outside.peer = { version: 1, ageMs: 2_000 };
    outside.answerTakesMs = 200;
    await renew();
    outside.peer = undefined;
    const provenAtMs = clock.monotonicMs() - 2_200;
    const acceptedUntilMs = Array.from({ length: 100 }).reduce<number>((latestMs) => {
      clock.advance(100);
      return access.authenticate(KEY, 'q').ok ? clock.monotonicMs() : latestMs;
    }, 0);
    expect(acceptedUntilMs).toBeGreaterThan(provenAtMs);
    expect(acceptedUntilMs - provenAtMs).toBeLessThanOrEqual(LIMIT_MS);
  });

  it('serves keys from the read with which an instance starts, and reads nothing else at once', async () => {
    const { access, clock, confirmation, outside, renew } = setup();
    confirmation.onNewestRead({ monotonicMs: clock.monotonicMs(), unixMs: clock.nowUnixMs() });
    expect(access.authenticate(KEY, 'q')).toMatchObject({ ok: true, value: { name: 'fox' } });
    outside.store = configuration(2, []);
    await renew();
    expect(access.authenticate(KEY, 'q')).toMatchObject({ ok: true });
    clock.advance(LIMIT_MS / 2);
    await renew();
    expect(access.authenticate(KEY, 'q')).toMatchObject({ ok: false, error: { code: 'unauthenticated' } });
  });

  // Guards against callers whose key was added a moment ago and who do not return after `unauthenticated`.
  it('refuses an unknown key with a time to return while a newer configuration is known to exist', async () => {
    const { access, outside, renew, standing } = setup();
    outside.peer = { version: 1, ageMs: 0 };
    await renew();
    standing.mayRefuseForGood = false;
    expect(access.authenticate('key-hen', 'q')).toMatchObject({
      ok: false,
      error: { code: 'keys_unconfirmed', run: 'not_run' },
    });
  });

  // Guards against callers without a key whose route was made anonymous a moment ago.
  it('refuses a missing key with a time to return while a newer configuration is known to exist', async () => {
    const { access, outside, renew, standing } = setup();
    outside.peer = { version: 1, ageMs: 0 };
    await renew();
    expect(access.authenticate(undefined, 'q')).toMatchObject({ error: { code: 'unauthenticated' } });
    standing.mayRefuseForGood = false;
    expect(access.authenticate(undefined, 'q')).toMatchObject({
      error: { code: 'keys_unconfirmed', run: 'not_run' },
    });
  });

  it('does not make what a peer has proven younger by passing it on', async () => {
    const { clock, outside, renew, prove } = setup();
    outside.peer = { version: 1, ageMs: 1_500 };
    await renew();
    clock.advance(700);
    expect(prove()).toEqual({ version: 1, ageMs: 2_200 });
  });

  it('takes no proof from a peer whose newer configuration could not be fetched', async () => {
    const { confirmation, outside, renew } = setup();
    outside.peer = { version: 2, ageMs: 0 };
    await renew();
    expect(confirmation.isConfirmed).toBe(false);
  });

  it('reads the store when no coordinator responds, and refuses a key that was withdrawn there', async () => {
    const { access, outside, renew } = setup();
    outside.store = configuration(2, []);
    await renew();
    expect(access.authenticate(KEY, 'q')).toMatchObject({ ok: false, error: { code: 'unauthenticated' } });
  });

  it('reads the store itself when what its peer has proven is old', async () => {
    const { confirmation, outside, renew } = setup();
    outside.peer = { version: 1, ageMs: 4_000 };
    outside.store = configuration(1, [KEY]);
    await renew();
    expect(confirmation.ageMs).toBe(0);
  });

  it('keeps the version before in force while the store holds one that cannot be read', async () => {
    const { access, outside, renew } = setup();
    outside.rejection = 'routes: expected array';
    await renew();
    expect(access.authenticate(KEY, 'q')).toMatchObject({ ok: true, value: { name: 'fox' } });
  });

  it('lets a coordinator that the store turns away ask another one', async () => {
    const { confirmation, outside, renew } = setup(true);
    outside.peer = { version: 1, ageMs: 100 };
    await renew();
    expect(confirmation.isConfirmed).toBe(true);
  });
});
