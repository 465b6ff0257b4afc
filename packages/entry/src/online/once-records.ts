/** Records that make a keyed request run at most once, whichever instance it reaches. */
import type { Clock, Metrics, Outcome, Problem } from '@fighub/core';
import { digest, fail, mayHaveRun, notRun, ok, sleep } from '@fighub/core';
import type { MembershipRunner, PeerNode } from '@fighub/peers';
import type { RecordStore, Versioned } from '@fighub/outside';
import { StoreErrorKind } from '@fighub/outside';

/** States of a keyed request. */
export const OnceState = {
  /** An instance may be running it. */
  started: 'started',
  /** Nothing of it was run: it may be tried again. */
  notRun: 'not_run',
  /** It ended; `answer` is repeated to every resend. */
  ended: 'ended',
} as const;
export type OnceState = (typeof OnceState)[keyof typeof OnceState];

/** The answer that is kept. */
export interface KeptAnswer {
  readonly status: number;
  readonly contentType: string;
  readonly body: string;
}

/** A stored record. */
export interface OnceRecord {
  readonly bodyDigest: string;
  readonly state: OnceState;
  readonly instanceId: string;
  readonly startedAtUnixMs: number;
  readonly answer?: KeptAnswer;
}

/** The result of opening a record: either we run the request, or its answer is known. */
export type OnceOpening = { readonly run: Versioned<OnceRecord> } | { readonly answer: KeptAnswer };

const HOLDER_TIMEOUT_MS = 500;
const SETTLE_PAUSE_MS = 500;

/** Creates, settles and answers from records. */
export class OnceRecords {
  /** Keys whose requests this instance runs or whose records it still has to settle. */
  private readonly active = new Set<string>();
  private readonly unsettled = new Map<string, () => Promise<boolean>>();
  private timer: NodeJS.Timeout | undefined;

  constructor(
    private readonly selfId: string,
    private readonly store: RecordStore,
    private readonly node: PeerNode,
    private readonly members: () => MembershipRunner,
    private readonly clock: Clock,
    private readonly metrics: Metrics,
  ) {
    node.onRequest('once.state', (body) => ({ running: this.active.has(body.key) }));
  }

  start(): void {
    this.timer = setInterval(() => void this.settleAll(), SETTLE_PAUSE_MS);
  }

  stop(): void {
    clearInterval(this.timer);
  }

  /** Waits until all records are settled or `hasten` is aborted. */
  async drain(hasten: AbortSignal): Promise<void> {
    while (this.unsettled.size > 0 && !hasten.aborted) {
      await this.settleAll();
      await sleep(SETTLE_PAUSE_MS);
    }
  }

  /** Opens the record of a request before anything of it is sent. */
  async open(organisation: string, key: string, bodyDigest: string): Promise<Outcome<OnceOpening, Problem>> {
    const recordKey = `once/${organisation}/${digest(key).slice(0, 32)}`;
    if (this.active.has(recordKey)) return fail(inProgress());
    this.active.add(recordKey);
    const outcome = await this.create(recordKey, bodyDigest);
    if (!outcome.ok || 'answer' in outcome.value) this.deactivate(recordKey);
    return outcome;
  }

  /** Writes the final answer. The caller is answered even if this has to be repeated later. */
  async end(record: Versioned<OnceRecord>, answer: KeptAnswer): Promise<void> {
    await this.settle(record, { ...record.value, state: OnceState.ended, answer });
  }

  /** Writes that nothing of the request was run. */
  async endNotRun(record: Versioned<OnceRecord>): Promise<void> {
    await this.settle(record, { ...record.value, state: OnceState.notRun });
  }

  dump(): Record<string, unknown> {
    return { active: [...this.active], unsettled: [...this.unsettled.keys()] };
  }

  private async create(recordKey: string, bodyDigest: string): Promise<Outcome<OnceOpening, Problem>> {
    const fresh: OnceRecord = {
      bodyDigest,
      state: OnceState.started,
      instanceId: this.selfId,
      startedAtUnixMs: this.clock.nowUnixMs(),
    };
    const created = await this.store.write(recordKey, undefined, fresh);
    if (created.ok) return ok({ run: created.value });
    if (created.error.kind === StoreErrorKind.conflict && created.error.present) {
      return this.fromPresent(created.error.present, fresh);
    }
    if (created.error.kind === StoreErrorKind.unknown) this.withdrawLater(recordKey, fresh);
    return fail(notRun('store_unavailable', 'the record of the request could not be made', 2_000));
  }

  private async fromPresent(
    present: Versioned<OnceRecord>,
    fresh: OnceRecord,
  ): Promise<Outcome<OnceOpening, Problem>> {
    if (present.value.bodyDigest !== fresh.bodyDigest) {
      return fail(notRun('key_reused', 'the Idempotency-Key was used with another body'));
    }
    if (present.value.state === OnceState.ended && present.value.answer) {
      this.metrics.count('once_answers_repeated');
      return ok({ answer: present.value.answer });
    }
    if (present.value.state === OnceState.started) return fail(await this.judgeStarted(present));
    const taken = await this.store.write(present.key, present, fresh);
    if (taken.ok) return ok({ run: taken.value });
    if (taken.error.kind === StoreErrorKind.unknown) this.withdrawLater(present.key, fresh);
    if (taken.error.kind === StoreErrorKind.conflict) return fail(inProgress());
    return fail(notRun('store_unavailable', 'the record of the request could not be made', 2_000));
  }

  /** A request whose instance is gone may have run; it is never run again. */
  private async judgeStarted(present: Versioned<OnceRecord>): Promise<Problem> {
    const holder = this.members().membership.get(present.value.instanceId);
    const isOurs = present.value.instanceId === this.selfId;
    if (holder && !isOurs) {
      const body = { key: present.key };
      const answer = await this.node.request(holder.peerAddress, 'once.state', body, HOLDER_TIMEOUT_MS);
      if (answer.ok && answer.value.running) return inProgress();
      if (!answer.ok && this.members().membership.isLive(present.value.instanceId)) return inProgress();
      // It may have ended between our reading and the holder's answer.
      const again = await this.store.read<OnceRecord>(present.key);
      if (!again.ok || again.value?.revision !== present.revision) return inProgress();
    }
    return mayHaveRun(
      'outcome_unknown',
      'the request was started by an instance that was lost; it is not run again',
    );
  }

  private async settle(record: Versioned<OnceRecord>, value: OnceRecord): Promise<void> {
    const written = await this.store.write(record.key, record, value);
    if (written.ok || written.error.kind === StoreErrorKind.conflict) {
      this.deactivate(record.key);
      return;
    }
    this.metrics.count('once_records_unsettled');
    this.unsettled.set(record.key, async () => {
      const again = await this.store.write(record.key, record, value);
      return again.ok || again.error.kind === StoreErrorKind.conflict;
    });
  }

  /** A record whose creation is unknown is withdrawn, since its request was refused as not run. */
  private withdrawLater(recordKey: string, fresh: OnceRecord): void {
    this.metrics.count('once_records_unsettled');
    this.active.add(recordKey);
    this.unsettled.set(recordKey, async () => {
      const present = await this.store.read<OnceRecord>(recordKey);
      if (!present.ok) return false;
      const record = present.value;
      const isOurs =
        record?.value.instanceId === this.selfId && record.value.startedAtUnixMs === fresh.startedAtUnixMs;
      const value = { ...fresh, state: OnceState.notRun };
      if (record && !isOurs) return true;
      // Also written when absent: a delayed write can then no longer take effect.
      const written = await this.store.write(recordKey, record, value);
      return written.ok;
    });
  }

  private async settleAll(): Promise<void> {
    await Promise.all(
      [...this.unsettled.entries()].map(async ([key, settle]) => {
        if (!(await settle()) || this.unsettled.get(key) !== settle) return;
        this.unsettled.delete(key);
        this.deactivate(key);
      }),
    );
  }

  private deactivate(recordKey: string): void {
    if (!this.unsettled.has(recordKey)) this.active.delete(recordKey);
  }
}

function inProgress(): Problem {
  return {
    ...notRun('in_progress', 'a request with this Idempotency-Key is in progress', 1_000),
    run: 'may_have_run',
  };
}
