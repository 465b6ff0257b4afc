/**
 * Client of the hosting platform's metadata store with a second path through another instance. Jobs can
 * therefore be accepted, committed and read within the time that callers wait even when the store is reachable from
 * some machines only, is slow or loses responses.
 */
import type { Clock, DecisionLog, Metrics, Outcome } from '@fighub/core';
import { LogCategory, fail, sleep } from '@fighub/core';
import { coordinatorsOf } from '@fighub/decisions';
import type {
  KeyChange,
  KeyValueEntry,
  KeyValueService,
  StoreError,
  WatchHandle,
  WatchListener,
} from '@fighub/outside';
import { StoreErrorKind } from '@fighub/outside';
import type { MembershipRunner, PeerNode, StoreCall, StoreCallResponse } from '@fighub/peers';
import VError from 'verror';

/** How long calls try the relayed path first after the direct path has failed. */
const RELAY_FIRST_MS = 1_500;
/** A call without a response after this time is made over the other path as well. */
const HEDGE_AFTER_MS = 150;
/** Timeout of a relayed call; longer than a store call may take at the relaying instance. */
const RELAY_TIMEOUT_MS = 1_300;

/**
 * Calls the store directly, and through a coordinator when the direct call fails or is slow. Watches are
 * direct only.
 */
export class RelayedStore implements KeyValueService {
  private relayFirstUntilMs = Number.NEGATIVE_INFINITY;
  private relaying = false;

  constructor(
    private readonly direct: KeyValueService,
    private readonly selfId: () => string,
    private readonly members: () => MembershipRunner,
    private readonly node: PeerNode,
    private readonly clock: Clock,
    private readonly metrics: Metrics,
    private readonly log: DecisionLog,
    private readonly random: () => number,
  ) {
    node.onRequest('store.call', (call) => this.handleStoreCall(call));
  }

  get(key: string): Promise<Outcome<KeyValueEntry | undefined, StoreError>> {
    return this.run({ kind: 'get', key }, () => this.direct.get(key));
  }

  list(prefix: string, limit: number, afterKey?: string): Promise<Outcome<KeyValueEntry[], StoreError>> {
    return this.run({ kind: 'list', prefix, limit, afterKey }, () =>
      this.direct.list(prefix, limit, afterKey),
    );
  }

  transact(changes: readonly KeyChange[]): Promise<Outcome<number, StoreError>> {
    return this.run({ kind: 'transact', changes }, () => this.direct.transact(changes));
  }

  compareAndSwap(key: string, expectedRevision: number, value: string): Promise<Outcome<number, StoreError>> {
    return this.transact([{ key, expectedRevision, value }]);
  }

  async compareAndDelete(key: string, expectedRevision: number): Promise<Outcome<void, StoreError>> {
    const outcome = await this.transact([{ key, expectedRevision }]);
    return outcome.ok ? { ok: true, value: undefined } : outcome;
  }

  watch(prefix: string, listener: WatchListener): WatchHandle {
    return this.direct.watch(prefix, listener);
  }

  private async run<T>(
    call: StoreCall,
    callDirectly: () => Promise<Outcome<T, StoreError>>,
  ): Promise<Outcome<T, StoreError>> {
    const relay = (): Promise<Outcome<T, StoreError>> => this.relay<T>(call);
    if (this.clock.monotonicMs() < this.relayFirstUntilMs) return this.firstResponse(relay, callDirectly);
    const directCall = callDirectly();
    const outcome = await this.firstResponse(() => directCall, relay);
    this.node.detach(
      'store.call',
      directCall.then((direct) => this.updatePathPreference(direct, outcome)),
    );
    return outcome;
  }

  /**
   * Tries the second path when the first has failed or is slow, and returns the first response of the store. A
   * call may therefore be made twice. This is safe: writes compare revisions, and their caller recognises its
   * own write by its write id.
   */
  private async firstResponse<T>(first: StorePath<T>, second: StorePath<T>): Promise<Outcome<T, StoreError>> {
    const firstCall = first();
    const early = await Promise.race([firstCall, sleep(HEDGE_AFTER_MS)]);
    if (early && isStoreResponse(early)) return early;
    this.metrics.count(early ? 'store_calls_relayed' : 'store_calls_hedged');
    const secondCall = second();
    try {
      return await Promise.any([requireResponse(firstCall), requireResponse(secondCall)]);
    } catch {
      return combineFailures(await firstCall, await secondCall);
    }
  }

  /**
   * Makes calls start with the relayed path for a while when the direct path failed but the store responded.
   */
  private updatePathPreference<T>(
    directOutcome: Outcome<T, StoreError>,
    outcome: Outcome<T, StoreError>,
  ): void {
    if (isStoreResponse(directOutcome)) this.logPathChange(false, '');
    if (isStoreResponse(directOutcome) || !isStoreResponse(outcome)) return;
    this.relayFirstUntilMs = this.clock.monotonicMs() + RELAY_FIRST_MS;
    this.logPathChange(true, directOutcome.ok ? '' : directOutcome.error.detail);
  }

  /**
   * Sends the call to a random coordinator. Without a response the error is `unknown` for a write, which may
   * have taken effect, and `unavailable` for a read.
   */
  private async relay<T>(call: StoreCall): Promise<Outcome<T, StoreError>> {
    const others = coordinatorsOf(this.members().owners()).filter(
      (member) => member.instanceId !== this.selfId(),
    );
    const chosen = others[Math.floor(this.random() * others.length)];
    if (!chosen) return fail({ kind: StoreErrorKind.unavailable, detail: 'no coordinator is known' });
    const answer = await this.node.request(chosen.peerAddress, 'store.call', call, RELAY_TIMEOUT_MS);
    if (answer.ok && isOutcome(answer.value)) return answer.value.outcome as Outcome<T, StoreError>;
    const kind = call.kind === 'transact' ? StoreErrorKind.unknown : StoreErrorKind.unavailable;
    return fail({
      kind,
      detail: `the relaying instance did not respond: ${answer.ok ? 'malformed' : answer.error}`,
    });
  }

  /**
   * Makes a store call on behalf of another instance. It uses the direct path only, so that no call is relayed twice.
   */
  private async handleStoreCall(call: StoreCall): Promise<StoreCallResponse> {
    if (call.kind === 'get') return { outcome: await this.direct.get(call.key) };
    if (call.kind === 'list')
      return { outcome: await this.direct.list(call.prefix, call.limit, call.afterKey) };
    return { outcome: await this.direct.transact(call.changes) };
  }

  private logPathChange(relaying: boolean, detail: string): void {
    if (relaying === this.relaying) return;
    this.relaying = relaying;
    this.log.record(LogCategory.state, relaying ? 'store_relayed' : 'store_direct', { detail });
  }
}

/** Makes one store call over one path: directly or through a coordinator. */
type StorePath<T> = () => Promise<Outcome<T, StoreError>>;

/** Rejects unless the outcome is a response of the store, so that `Promise.any` waits for the other path. */
async function requireResponse<T>(call: Promise<Outcome<T, StoreError>>): Promise<Outcome<T, StoreError>> {
  const outcome = await call;
  if (!isStoreResponse(outcome)) throw new VError('the store did not respond');
  return outcome;
}

/** Whether the response of another release is as expected. */
function isOutcome(body: Partial<StoreCallResponse> | null | undefined): boolean {
  const outcome = body?.outcome as Partial<Outcome<unknown, StoreError>> | null | undefined;
  return outcome?.ok === true || (outcome?.ok === false && typeof outcome.error?.kind === 'string');
}

/** Whether the outcome comes from the store itself: a success, a conflict or a value that is too large. */
function isStoreResponse<T>(outcome: Outcome<T, StoreError>): boolean {
  if (outcome.ok) return true;
  return outcome.error.kind === StoreErrorKind.conflict || outcome.error.kind === StoreErrorKind.tooLarge;
}

/**
 * The outcome to report when neither path succeeded: the second one, unless the first may have taken effect.
 */
function combineFailures<T>(
  first: Outcome<T, StoreError>,
  second: Outcome<T, StoreError>,
): Outcome<T, StoreError> {
  if (isStoreResponse(second) || first.ok) return second;
  return first.error.kind === StoreErrorKind.unknown ? first : second;
}
