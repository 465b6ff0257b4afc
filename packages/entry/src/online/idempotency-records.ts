/** Idempotency records: a request with an Idempotency-Key runs at most once, whichever instances receive it. */
import type { BackgroundTasks, Clock, Metrics, Outcome, Problem } from '@fighub/core';
import { digest, fail, mayHaveRun, notRun, ok, sleep } from '@fighub/core';
import type { MembershipRunner, PeerNode } from '@fighub/peers';
import type { RecordStore, Versioned } from '@fighub/outside';
import { StoreErrorKind } from '@fighub/outside';

/** States of a request with an Idempotency-Key. */
export const IdempotencyState = {
  /** An instance may be running the request. */
  started: 'started',
  /** No part of the request was run, so it may be tried again. */
  notRun: 'not_run',
  /** The request ended. When it is sent again, `answer` is returned. */
  ended: 'ended',
} as const;
export type IdempotencyState = (typeof IdempotencyState)[keyof typeof IdempotencyState];

/** A response as it is stored, to be sent again. */
export interface StoredResponse {
  readonly status: number;
  readonly contentType: string;
  readonly body: string;
}

/** An idempotency record in the key-value service. */
export interface IdempotencyRecord {
  /** Digest of the request body. It reveals that a key is used again for a different request. */
  readonly bodyDigest: string;
  readonly state: IdempotencyState;
  /** The instance that started the request. */
  readonly instanceId: string;
  readonly startedAtUnixMs: number;
  /** Present when the state is `ended`. */
  readonly answer?: StoredResponse;
}

/** The result of opening a record: either the record under which to run the request, or its stored response. */
export type OpenedRequest =
  { readonly run: Versioned<IdempotencyRecord> } | { readonly answer: StoredResponse };

/** Timeout for asking the instance that started a request whether it still runs the request. */
const STATE_REQUEST_TIMEOUT_MS = 500;
/** Interval at which failed writes of final states are retried. */
const SETTLE_INTERVAL_MS = 500;

/**
 * Creates idempotency records, and settles them: writes the final state of their requests. A write that fails is
 * retried until the state of the record is certain.
 */
export class IdempotencyRecords {
  /** Keys of the records whose requests this instance runs, or which it still has to settle. */
  private readonly active = new Set<string>();
  /** By record key, a function that tries to settle the record. It returns whether the record is settled. */
  private readonly unsettled = new Map<string, () => Promise<boolean>>();
  private timer: NodeJS.Timeout | undefined;

  constructor(
    private readonly selfId: string,
    private readonly store: RecordStore,
    private readonly node: PeerNode,
    private readonly members: () => MembershipRunner,
    private readonly tasks: BackgroundTasks,
    private readonly clock: Clock,
    private readonly metrics: Metrics,
  ) {
    node.onRequest('once.state', (body) => ({ running: this.active.has(body.key) }));
  }

  /** Starts the retries of records that are not settled. */
  start(): void {
    this.timer = setInterval(
      () => this.tasks.run('idempotency records', () => this.settleAll()),
      SETTLE_INTERVAL_MS,
    );
  }

  stop(): void {
    clearInterval(this.timer);
  }

  /** Retries the records that are not settled, until all are settled. Returns early when `abort` is aborted. */
  async drain(abort: AbortSignal): Promise<void> {
    while (this.unsettled.size > 0 && !abort.aborted) {
      await this.settleAll();
      await sleep(SETTLE_INTERVAL_MS);
    }
  }

  /**
   * Opens the record of a request, before any part of the request is sent. Fails with `key_reused` when the key was
   * used with a different body, `in_progress` while the request may be running, `outcome_unknown` when it may have
   * run, and `store_unavailable` when the record cannot be written.
   */
  async open(
    organisation: string,
    key: string,
    bodyDigest: string,
  ): Promise<Outcome<OpenedRequest, Problem>> {
    const recordKey = `once/${organisation}/${digest(key).slice(0, 32)}`;
    if (this.active.has(recordKey)) return fail(inProgress());
    this.active.add(recordKey);
    const outcome = await this.createOrOpen(recordKey, bodyDigest);
    if (!outcome.ok || 'answer' in outcome.value) this.deactivate(recordKey);
    return outcome;
  }

  /** Records the response of a request. A failed write is retried in the background; the caller need not wait. */
  async end(record: Versioned<IdempotencyRecord>, response: StoredResponse): Promise<void> {
    await this.settle(record, { ...record.value, state: IdempotencyState.ended, answer: response });
  }

  /** Records that no part of the request was run. A failed write is retried in the background. */
  async endNotRun(record: Versioned<IdempotencyRecord>): Promise<void> {
    await this.settle(record, { ...record.value, state: IdempotencyState.notRun });
  }

  dump(): Record<string, unknown> {
    return { active: [...this.active], unsettled: [...this.unsettled.keys()] };
  }

  private async createOrOpen(
    recordKey: string,
    bodyDigest: string,
  ): Promise<Outcome<OpenedRequest, Problem>> {
    const newRecord: IdempotencyRecord = {
      bodyDigest,
      state: IdempotencyState.started,
      instanceId: this.selfId,
      startedAtUnixMs: this.clock.nowUnixMs(),
    };
    const created = await this.store.write(recordKey, undefined, newRecord);
    if (created.ok) return ok({ run: created.value });
    if (created.error.kind === StoreErrorKind.conflict && created.error.present) {
      return this.openExisting(created.error.present, newRecord);
    }
    if (created.error.kind === StoreErrorKind.unknown) this.scheduleWithdrawal(recordKey, newRecord);
    return fail(
      notRun(
        'store_unavailable',
        'the idempotency record could not be written; the request was not run',
        2_000,
      ),
    );
  }

  private async openExisting(
    present: Versioned<IdempotencyRecord>,
    newRecord: IdempotencyRecord,
  ): Promise<Outcome<OpenedRequest, Problem>> {
    if (present.value.bodyDigest !== newRecord.bodyDigest) {
      return fail(notRun('key_reused', 'the Idempotency-Key was already used with a different body'));
    }
    if (present.value.state === IdempotencyState.ended && present.value.answer) {
      this.metrics.count('once_answers_repeated');
      return ok({ answer: present.value.answer });
    }
    if (present.value.state === IdempotencyState.started) return fail(await this.problemOfStarted(present));
    const restarted = await this.store.write(present.key, present, newRecord);
    if (restarted.ok) return ok({ run: restarted.value });
    if (restarted.error.kind === StoreErrorKind.unknown) this.scheduleWithdrawal(present.key, newRecord);
    if (restarted.error.kind === StoreErrorKind.conflict) return fail(inProgress());
    return fail(
      notRun(
        'store_unavailable',
        'the idempotency record could not be written; the request was not run',
        2_000,
      ),
    );
  }

  /**
   * Returns the problem for a request that was already started: `in_progress` while it may be running, otherwise
   * `outcome_unknown`. A request that its instance no longer runs may have run, so it is never run again. The same
   * holds if the instance is not among the known members.
   */
  private async problemOfStarted(present: Versioned<IdempotencyRecord>): Promise<Problem> {
    const startedBy = this.members().membership.get(present.value.instanceId);
    const startedHere = present.value.instanceId === this.selfId;
    if (startedBy && !startedHere) {
      const body = { key: present.key };
      const response = await this.node.request(
        startedBy.peerAddress,
        'once.state',
        body,
        STATE_REQUEST_TIMEOUT_MS,
      );
      if (response.ok && response.value.running) return inProgress();
      if (!response.ok && this.members().membership.isLive(present.value.instanceId)) return inProgress();
      // The request may have ended after the record was read and before the instance responded.
      const reread = await this.store.read<IdempotencyRecord>(present.key);
      if (!reread.ok || reread.value?.revision !== present.revision) return inProgress();
    }
    return mayHaveRun(
      'outcome_unknown',
      'the instance that started the request no longer runs it; its outcome is unknown and it is not run again',
    );
  }

  /** Writes the final state of a record, and schedules a retry when the write fails. */
  private async settle(record: Versioned<IdempotencyRecord>, value: IdempotencyRecord): Promise<void> {
    const written = await this.store.write(record.key, record, value);
    if (written.ok || written.error.kind === StoreErrorKind.conflict) {
      this.deactivate(record.key);
      return;
    }
    this.metrics.count('once_records_unsettled');
    this.unsettled.set(record.key, async () => {
      const rewritten = await this.store.write(record.key, record, value);
      return rewritten.ok || rewritten.error.kind === StoreErrorKind.conflict;
    });
  }

  /**
   * Schedules the write of the state `not_run`. It is unknown whether the record was stored as started, and the caller
   * was told that the request was not run.
   */
  private scheduleWithdrawal(recordKey: string, newRecord: IdempotencyRecord): void {
    this.metrics.count('once_records_unsettled');
    this.active.add(recordKey);
    this.unsettled.set(recordKey, async () => {
      const present = await this.store.read<IdempotencyRecord>(recordKey);
      if (!present.ok) return false;
      const record = present.value;
      const isOwnWrite =
        record?.value.instanceId === this.selfId &&
        record.value.startedAtUnixMs === newRecord.startedAtUnixMs;
      const value = { ...newRecord, state: IdempotencyState.notRun };
      if (record && !isOwnWrite) return true;
      // The record is written even when absent, so that a delayed earlier write can no longer take effect.
      const written = await this.store.write(recordKey, record, value);
      return written.ok;
    });
  }

  /** Retries the records that are not settled. */
  private async settleAll(): Promise<void> {
    await Promise.all(
      [...this.unsettled.entries()].map(([key, settle]) =>
        this.tasks.finish('idempotency record', () => this.settleAgain(key, settle)),
      ),
    );
  }

  private async settleAgain(key: string, settle: () => Promise<boolean>): Promise<void> {
    if (!(await settle()) || this.unsettled.get(key) !== settle) return;
    this.unsettled.delete(key);
    this.deactivate(key);
  }

  /** Marks the request of a record as no longer running here, unless the record still has to be settled. */
  private deactivate(recordKey: string): void {
    if (!this.unsettled.has(recordKey)) this.active.delete(recordKey);
  }
}

/** The problem for a request that may be running. It may have run, unlike other refused requests. */
function inProgress(): Problem {
  return {
    ...notRun('in_progress', 'a request with this Idempotency-Key is in progress', 1_000),
    run: 'may_have_run',
  };
}
