/**
 * The platform's store, also through another instance. Answers a store that serves some machines and not others,
 * is slow or loses answers: jobs are accepted, committed and read on within the time that callers wait.
 */
import type { Clock, DecisionLog, Metrics, Outcome } from '@fighub/core';
import { LogWeight, fail, sleep } from '@fighub/core';
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
import type { MembershipRunner, PeerNode, StoreCall, StoreCallAnswer } from '@fighub/peers';
import VError from 'verror';

/** After a failure of our own way to the store the other way is tried first for this long, in milliseconds. */
const RELAY_FIRST_MS = 1_500;
/** A call without an answer is made the other way as well after this time, in milliseconds. */
const HEDGE_AFTER_MS = 150;
/** Longer than a call to the store may take at the relaying instance, in milliseconds. */
const RELAY_TIMEOUT_MS = 1_300;

/** Calls the store directly, and through a coordinator when that fails. */
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
    if (this.clock.monotonicMs() < this.relayFirstUntilMs) return this.firstAnswer(relay, callDirectly);
    const directCall = callDirectly();
    const outcome = await this.firstAnswer(() => directCall, relay);
    void directCall.then((direct) => this.updatePathPreference(direct, outcome));
    return outcome;
  }

  /**
   * Goes the second way when the first has failed or is slow. A call may so be made twice: writes compare
   * revisions, and their caller knows its own write by its id.
   */
  private async firstAnswer<T>(first: StorePath<T>, second: StorePath<T>): Promise<Outcome<T, StoreError>> {
    const firstCall = first();
    const early = await Promise.race([firstCall, sleep(HEDGE_AFTER_MS)]);
    if (early && isAnswer(early)) return early;
    this.metrics.count(early ? 'store_calls_relayed' : 'store_calls_hedged');
    const secondCall = second();
    try {
      return await Promise.any([requireAnswer(firstCall), requireAnswer(secondCall)]);
    } catch {
      return combineFailures(await firstCall, await secondCall);
    }
  }

  /** After a failure of our own way, while the store answers others, calls begin with the other way. */
  private updatePathPreference<T>(direct: Outcome<T, StoreError>, outcome: Outcome<T, StoreError>): void {
    if (isAnswer(direct)) this.logPathChange(false, '');
    if (isAnswer(direct) || !isAnswer(outcome)) return;
    this.relayFirstUntilMs = this.clock.monotonicMs() + RELAY_FIRST_MS;
    this.logPathChange(true, direct.ok ? '' : direct.error.detail);
  }

  /** Lets a coordinator make the call. Without an answer a write may have taken effect. */
  private async relay<T>(call: StoreCall): Promise<Outcome<T, StoreError>> {
    const others = coordinatorsOf(this.members().owners()).filter(
      (member) => member.instanceId !== this.selfId(),
    );
    const chosen = others[Math.floor(this.random() * others.length)];
    if (!chosen) return fail({ kind: StoreErrorKind.unavailable, detail: 'no coordinator is known' });
    const answer = await this.node.request(chosen.peerAddress, 'store.call', call, RELAY_TIMEOUT_MS);
    if (answer.ok) return answer.value.outcome as Outcome<T, StoreError>;
    const kind = call.kind === 'transact' ? StoreErrorKind.unknown : StoreErrorKind.unavailable;
    return fail({ kind, detail: `the relaying instance did not answer: ${answer.error}` });
  }

  /** Makes a call for another instance, on our own way only. */
  private async handleStoreCall(call: StoreCall): Promise<StoreCallAnswer> {
    if (call.kind === 'get') return { outcome: await this.direct.get(call.key) };
    if (call.kind === 'list')
      return { outcome: await this.direct.list(call.prefix, call.limit, call.afterKey) };
    return { outcome: await this.direct.transact(call.changes) };
  }

  private logPathChange(relaying: boolean, detail: string): void {
    if (relaying === this.relaying) return;
    this.relaying = relaying;
    this.log.record(LogWeight.state, relaying ? 'store_relayed' : 'store_direct', { detail });
  }
}

type StorePath<T> = () => Promise<Outcome<T, StoreError>>;

/** Rejects when the store has not answered. */
async function requireAnswer<T>(call: Promise<Outcome<T, StoreError>>): Promise<Outcome<T, StoreError>> {
  const outcome = await call;
  if (!isAnswer(outcome)) throw new VError('the store did not answer');
  return outcome;
}

/** Whether the store itself has answered. */
function isAnswer<T>(outcome: Outcome<T, StoreError>): boolean {
  if (outcome.ok) return true;
  return outcome.error.kind === StoreErrorKind.conflict || outcome.error.kind === StoreErrorKind.tooLarge;
}

/** Of two ways the later one counts, but what may have taken effect on either stays unknown. */
function combineFailures<T>(
  first: Outcome<T, StoreError>,
  second: Outcome<T, StoreError>,
): Outcome<T, StoreError> {
  if (isAnswer(second) || first.ok) return second;
  return first.error.kind === StoreErrorKind.unknown ? first : second;
}
