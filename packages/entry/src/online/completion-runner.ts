/**
 * Runs a completion to its end: acquires slots, makes attempts, resumes interrupted streams, and keeps track of
 * whether an upstream may have run the request.
 */
import type { PermitClient, Slot, UpstreamStates } from '@fighub/admission';
import type { Clock, Metrics, Problem } from '@fighub/core';
import {
  InvariantName,
  ExecutionStatus,
  checkInvariant,
  mayHaveRun,
  newId,
  notRun,
  prefixDigest,
} from '@fighub/core';
import type { AttemptEnd, WorkClass } from '@fighub/decisions';
import { AttemptEnd as Ends, RetryBudget } from '@fighub/decisions';
import type { Engine, EngineChunk, EngineEnd, Fencing, InactivityTimeouts } from '@fighub/outside';
import { EngineEndKind } from '@fighub/outside';

/** A completion to be run. */
export interface CompletionSpec {
  readonly requestId: string;
  readonly organisation: string;
  readonly model: string;
  readonly prompt: string;
  readonly maxTokens: number;
  /**
   * No attempt of an online request starts after this time. Batch items are scheduled in the order of their deadlines;
   * overdue items still run, but after the others.
   */
  readonly deadlineUnixMs: number;
  readonly workClass: WorkClass;
  /** Whether the request may be sent again after an upstream may have run it. */
  readonly idempotent: boolean;
  /** Whether the stream must run in quarantine, with no other stream at its replica. */
  readonly alone: boolean;
  /** Lease under which the work is done. It is sent to upstreams that check fencing numbers. */
  readonly fencing?: Fencing;
  /** Tokens that an earlier run has produced; the stream continues after them. */
  readonly tokensSoFar: readonly string[];
  /** Version of the replicas that produced `tokensSoFar`; undefined when there are none, or versions are not known. */
  readonly softwareVersion?: string;
  /** Called right before each dispatch. When it returns false, the request is not sent and ends as cancelled. */
  readonly mayDispatch?: () => boolean;
  /** Called at each dispatch, so that whoever started the run can check its invariants at that moment. */
  readonly onDispatch?: () => void;
  /** Called with the text of each token, in order. */
  readonly onToken?: (text: string) => void;
}

/** How a completion ended. */
export const CompletionKind = {
  completed: 'completed',
  /** The request was refused or failed; `problem` states whether it may have run. */
  failed: 'failed',
  /** The owner of the pool preempted the stream. */
  preempted: 'preempted',
  /** The caller disconnected, or the work was withdrawn. */
  cancelled: 'cancelled',
  /** The upstream rejected the request as one that it cannot run. */
  rejected: 'rejected',
} as const;
export type CompletionKind = (typeof CompletionKind)[keyof typeof CompletionKind];

/** The result of a completion. */
export interface CompletionEnd {
  readonly kind: CompletionKind;
  /** All tokens so far, including those of `tokensSoFar`. */
  readonly tokens: readonly string[];
  /** Version of the replicas that produced the tokens; undefined when there are none, or versions are not known. */
  readonly softwareVersion?: string;
  readonly problem?: Problem;
  /** Whether the stream of an attempt broke or went silent. */
  readonly brokeReplica: boolean;
  /** Whether any byte of an attempt may have reached an upstream. */
  readonly sent: boolean;
}

/** The result of one attempt. */
interface Attempt {
  readonly end: EngineEnd;
  readonly preempted: boolean;
}

/** A slot request excludes up to this number of replicas: the latest ones at which an attempt failed. */
const MAX_EXCLUDED_REPLICAS = 3;
/** Time after which callers should retry when no upstream could run their request. */
const FAILED_RETRY_MS = 1_000;

/** Runs completions for the gateway and the batch runner. */
export class CompletionRunner {
  private readonly retryBudget: RetryBudget;

  constructor(
    private readonly permits: PermitClient,
    private readonly engine: Engine,
    private readonly upstreams: UpstreamStates,
    private readonly limits: InactivityTimeouts,
    retryFraction: number,
    private readonly clock: Clock,
    private readonly metrics: Metrics,
  ) {
    // At least 1 retry per second is allowed, and up to 20 unused retries are kept for later.
    this.retryBudget = new RetryBudget(retryFraction, 1, 20);
  }

  /** Runs a completion until it is complete, refused, failed or preempted, or until `signal` is aborted. */
  async run(spec: CompletionSpec, signal: AbortSignal): Promise<CompletionEnd> {
    this.retryBudget.onRequest();
    return new CompletionRun(spec, signal, this).run();
  }

  /** Number of retries that the budget allows now; shown in the state dump. */
  get retriesAvailable(): number {
    return this.retryBudget.available;
  }

  /** The dependencies of single runs. */
  get dependencies(): RunDependencies {
    return {
      permits: this.permits,
      engine: this.engine,
      upstreams: this.upstreams,
      limits: this.limits,
      retryBudget: this.retryBudget,
      clock: this.clock,
      metrics: this.metrics,
    };
  }
}

/** The collaborators that all runs share. */
interface RunDependencies {
  readonly permits: PermitClient;
  readonly engine: Engine;
  readonly upstreams: UpstreamStates;
  readonly limits: InactivityTimeouts;
  readonly retryBudget: RetryBudget;
  readonly clock: Clock;
  readonly metrics: Metrics;
}

/** The state of one completion. */
export class CompletionRun {
  private readonly tokens: string[];
  private softwareVersion: string | undefined;
  private readonly excluded: string[] = [];
  /** Whether any byte of any attempt may have reached an upstream. */
  private everSent = false;
  private brokeReplica = false;
  private readonly dependencies: RunDependencies;

  constructor(
    private readonly spec: CompletionSpec,
    private readonly signal: AbortSignal,
    runner: CompletionRunner,
  ) {
    this.tokens = [...spec.tokensSoFar];
    this.softwareVersion = spec.softwareVersion;
    this.dependencies = runner.dependencies;
  }

  /** Makes attempts until one of them is final. */
  async run(): Promise<CompletionEnd> {
    for (;;) {
      const slot = await this.dependencies.permits.acquire(this.demand(), this.signal);
      if (this.signal.aborted) {
        if (slot.ok) this.dependencies.permits.release(slot.value, { end: Ends.cancelled, tokens: 0 });
        return this.ended(CompletionKind.cancelled);
      }
      if (!slot.ok) return this.endWithoutSlot(slot.error);
      const attempt = await this.attempt(slot.value);
      const final = this.finalEndOf(attempt, slot.value);
      if (final) return final;
    }
  }

  private demand(): Parameters<PermitClient['acquire']>[0] {
    const { spec } = this;
    return {
      requestId: spec.requestId,
      organisation: spec.organisation,
      model: spec.model,
      workClass: spec.workClass,
      costTokens: spec.maxTokens - this.tokens.length,
      deadlineUnixMs: spec.deadlineUnixMs,
      prefixDigest: prefixDigest(spec.model, spec.prompt),
      excludedReplicaIds: this.excluded.slice(-MAX_EXCLUDED_REPLICAS),
      softwareVersion: this.softwareVersion,
      resumable: spec.idempotent,
      alone: spec.alone,
    };
  }

  /** Runs one stream in `slot` and releases the slot. */
  private async attempt(slot: Slot): Promise<Attempt> {
    if (this.spec.mayDispatch && !this.spec.mayDispatch()) {
      this.dependencies.permits.release(slot, { end: Ends.cancelled, tokens: 0 });
      return {
        end: {
          kind: EngineEndKind.cancelled,
          detail: 'the dispatch is no longer allowed; nothing was sent',
          sent: false,
        },
        preempted: false,
      };
    }
    const { spec } = this;
    const attemptId = newId('att');
    const startedMs = this.dependencies.clock.monotonicMs();
    const firstTokenIndex = this.tokens.length;
    let firstTokenMs: number | undefined;
    const tokenMissing = new AbortController();
    const onChunk = (chunk: EngineChunk): void => {
      if (!this.accepts(chunk, attemptId, tokenMissing)) return;
      checkInvariant(
        InvariantName.streamChunkBelongs,
        chunk.requestId === spec.requestId && chunk.tokenIndex === this.tokens.length,
        () => ({ requestId: spec.requestId, chunk }),
      );
      firstTokenMs ??= this.dependencies.clock.monotonicMs() - startedMs;
      if (this.tokens.length === 0) this.softwareVersion = slot.softwareVersion;
      this.tokens.push(chunk.text);
      this.spec.onToken?.(chunk.text);
    };
    const call = {
      address: slot.address,
      requestId: spec.requestId,
      attemptId,
      organisation: spec.organisation,
      model: spec.model,
      prompt: spec.prompt,
      maxTokens: spec.maxTokens,
      fromToken: firstTokenIndex,
      fencing: slot.fencingChecked ? spec.fencing : undefined,
      idempotent: spec.idempotent,
    };
    const stop = AbortSignal.any([this.signal, slot.revoked, tokenMissing.signal]);
    const engineEnd = await this.callEngine(slot, call, onChunk, stop);
    const end = tokenMissing.signal.aborted
      ? { ...engineEnd, kind: EngineEndKind.broken, detail: 'the stream skipped a token' }
      : engineEnd;
    this.everSent ||= end.sent;
    const tokens = this.tokens.length - firstTokenIndex;
    const streamMs = this.dependencies.clock.monotonicMs() - startedMs - (firstTokenMs ?? 0);
    this.dependencies.permits.release(slot, {
      end: await this.attemptEndOf(end, slot),
      tokens,
      firstTokenMs,
      betweenTokensMs: tokens > 1 ? streamMs / (tokens - 1) : undefined,
    });
    return { end, preempted: slot.revoked.aborted && !this.signal.aborted };
  }

  /** Calls the engine. An unexpected error, also of `onChunk`, gives the slot back. */
  private async callEngine(
    slot: Slot,
    call: Parameters<Engine['run']>[0],
    onChunk: (chunk: EngineChunk) => void,
    stop: AbortSignal,
  ): Promise<EngineEnd> {
    const { engine, limits, permits } = this.dependencies;
    try {
      this.spec.onDispatch?.();
      return await engine.run(call, limits, onChunk, stop);
    } catch (error) {
      permits.release(slot, { end: Ends.cancelled, tokens: 0 });
      throw error;
    }
  }

  /**
   * Returns whether `chunk` is the next token of this attempt. Chunks that are late, duplicated or of another stream
   * are dropped. When tokens were skipped, `tokenMissing` is aborted, which ends the attempt.
   */
  accepts(chunk: EngineChunk, attemptId: string, tokenMissing: AbortController): boolean {
    const belongs = chunk.requestId === this.spec.requestId && chunk.attemptId === attemptId;
    const isNext = chunk.tokenIndex === this.tokens.length;
    if (belongs && chunk.tokenIndex > this.tokens.length) tokenMissing.abort();
    if (!belongs || !isNext) this.dependencies.metrics.count('stream_chunks_dropped');
    return belongs && isNext;
  }

  /**
   * Returns the end of an attempt as it is reported to the owner of the pool. When a connection went silent but the
   * replica responds on a new one, the connection is at fault and the replica does not count as broken.
   */
  private async attemptEndOf(end: EngineEnd, slot: Slot): Promise<AttemptEnd> {
    if (end.kind === EngineEndKind.silent) {
      this.dependencies.metrics.count('upstream_connections_silent');
      const isReachable = (await this.dependencies.engine.load(slot.address)) !== undefined;
      return isReachable ? Ends.cancelled : Ends.broken;
    }
    if (end.kind === EngineEndKind.leaving) this.dependencies.upstreams.markLeaving(slot.replicaId);
    return ATTEMPT_ENDS[end.kind];
  }

  /** Returns the result of the completion, or undefined when another attempt is to be made. */
  private finalEndOf(attempt: Attempt, slot: Slot): CompletionEnd | undefined {
    const { end } = attempt;
    if (end.kind === EngineEndKind.completed) return this.ended(CompletionKind.completed);
    if (attempt.preempted) return this.ended(CompletionKind.preempted);
    if (end.kind === EngineEndKind.cancelled) return this.ended(CompletionKind.cancelled);
    if (end.kind === EngineEndKind.rejected) return this.ended(CompletionKind.rejected, this.failure(end));
    if (end.kind === EngineEndKind.broken || end.kind === EngineEndKind.silent) this.brokeReplica = true;
    if (!this.mayRetry(end)) return this.ended(CompletionKind.failed, this.failure(end));
    this.dependencies.metrics.count('attempts_repeated');
    // After a silent attempt the connection may be at fault, so the replica is not excluded.
    if (end.kind !== EngineEndKind.silent) this.excluded.push(slot.replicaId);
    return undefined;
  }

  /** Returns whether another attempt is allowed. Batch items are retried by the batch runner instead. */
  private mayRetry(end: EngineEnd): boolean {
    if (end.sent && !this.spec.idempotent) return false;
    if (this.dependencies.clock.nowUnixMs() >= this.spec.deadlineUnixMs) return false;
    if (this.spec.workClass === 'batch') return false;
    const allowed = this.dependencies.retryBudget.tryRetry(this.dependencies.clock.monotonicMs());
    if (!allowed) this.dependencies.metrics.count('retries_over_budget');
    return allowed;
  }

  /** The problem of a failed or rejected attempt, which says whether any attempt may have run. */
  failure(end: EngineEnd): Problem {
    const detail = `the upstream failed: ${end.detail}`;
    if (this.everSent) return mayHaveRun('upstream_failed', detail);
    if (end.kind === EngineEndKind.rejected) return notRun('upstream_failed', detail);
    return notRun('upstream_failed', detail, FAILED_RETRY_MS);
  }

  /**
   * Ends a completion that got no slot. When an earlier attempt was sent, the problem says that the request may have
   * run.
   */
  private endWithoutSlot(problem: Problem): CompletionEnd {
    if (!this.everSent) return this.ended(CompletionKind.failed, problem);
    return this.ended(CompletionKind.failed, mayHaveRun('upstream_failed', problem.detail));
  }

  /** Returns the result of the run, after the check that a request reported as not run was never sent. */
  private ended(kind: CompletionKind, problem?: Problem): CompletionEnd {
    checkInvariant(
      InvariantName.notRunNothingSent,
      problem?.run !== ExecutionStatus.notRun || !this.everSent,
      () => ({ requestId: this.spec.requestId, problem }),
    );
    const { tokens, softwareVersion, brokeReplica, everSent: sent } = this;
    return { kind, tokens, softwareVersion, problem, brokeReplica, sent };
  }
}

/** How the end of an engine call is reported to the owner of the pool. */
const ATTEMPT_ENDS: Record<EngineEndKind, AttemptEnd> = {
  completed: Ends.completed,
  cancelled: Ends.cancelled,
  not_connected: Ends.refused,
  leaving: Ends.leaving,
  overloaded: Ends.cancelled,
  fenced: Ends.cancelled,
  rejected: Ends.rejected,
  silent: Ends.broken,
  broken: Ends.broken,
};
