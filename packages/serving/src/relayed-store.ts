/**
 * The platform's store through another instance while it turns this one away. Answers a store that serves some
 * machines and not others: jobs are accepted, committed and read on.
 */
import type { Clock, DecisionLog, Metrics, Outcome } from '@fighub/core';
import { LogWeight, fail } from '@fighub/core';
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

/** After a failure of our own way to the store the other way is tried first for this long, in milliseconds. */
const DETOUR_MS = 1_500;
/** Longer than a call to the store may take at the relaying instance, in milliseconds. */
const RELAY_TIMEOUT_MS = 1_300;

/** Calls the store directly, and through a coordinator when that fails. */
export class RelayedStore implements KeyValueService {
  private detourUntilMs = Number.NEGATIVE_INFINITY;
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
    node.onRequest('store.call', (call) => this.serve(call));
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
    direct: () => Promise<Outcome<T, StoreError>>,
  ): Promise<Outcome<T, StoreError>> {
    if (this.clock.monotonicMs() < this.detourUntilMs) {
      const relayed = await this.relay<T>(call);
      if (isAnswer(relayed)) return relayed;
      return worse(relayed, await direct());
    }
    const own = await direct();
    if (isAnswer(own)) {
      this.note(false, '');
      return own;
    }
    const relayed = await this.relay<T>(call);
    if (!isAnswer(relayed)) return worse(relayed, own);
    this.detourUntilMs = this.clock.monotonicMs() + DETOUR_MS;
    this.note(true, own.ok ? '' : own.error.detail);
    return relayed;
  }

  /** Lets a coordinator make the call. Without an answer a write may have taken effect. */
  private async relay<T>(call: StoreCall): Promise<Outcome<T, StoreError>> {
    const others = this.members()
      .owners()
      .filter((member) => member.schedules !== false && member.instanceId !== this.selfId());
    const chosen = others[Math.floor(this.random() * others.length)];
    if (!chosen) return fail({ kind: StoreErrorKind.unavailable, detail: 'no coordinator is known' });
    this.metrics.count('store_calls_relayed');
    const answer = await this.node.request(chosen.peerAddress, 'store.call', call, RELAY_TIMEOUT_MS);
    if (answer.ok) return answer.value.outcome as Outcome<T, StoreError>;
    const kind = call.kind === 'transact' ? StoreErrorKind.unknown : StoreErrorKind.unavailable;
    return fail({ kind, detail: `the relaying instance did not answer: ${answer.error}` });
  }

  /** Makes a call for another instance, on our own way only. */
  private async serve(call: StoreCall): Promise<StoreCallAnswer> {
    if (call.kind === 'get') return { outcome: await this.direct.get(call.key) };
    if (call.kind === 'list')
      return { outcome: await this.direct.list(call.prefix, call.limit, call.afterKey) };
    return { outcome: await this.direct.transact(call.changes) };
  }

  private note(relaying: boolean, detail: string): void {
    if (relaying === this.relaying) return;
    this.relaying = relaying;
    this.log.record(LogWeight.state, relaying ? 'store_relayed' : 'store_direct', { detail });
  }
}

/** Whether the store itself has answered. */
function isAnswer<T>(outcome: Outcome<T, StoreError>): boolean {
  if (outcome.ok) return true;
  return outcome.error.kind === StoreErrorKind.conflict || outcome.error.kind === StoreErrorKind.tooLarge;
}

/** Of two ways the later one counts, but what may have taken effect on either stays unknown. */
function worse<T>(first: Outcome<T, StoreError>, second: Outcome<T, StoreError>): Outcome<T, StoreError> {
  if (isAnswer(second) || first.ok) return second;
  return first.error.kind === StoreErrorKind.unknown ? first : second;
}
