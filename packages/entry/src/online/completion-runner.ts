/** Runs one completion to its end: places, attempts, resumption and the evidence for refusals. */
import type { PermitClient, Slot, UpstreamStates } from '@fighub/admission';
import type { Clock, Metrics, Problem } from '@fighub/core';
import {
  InvariantName,
  RunClaim,
  checkInvariant,
  mayHaveRun,
  newId,
  notRun,
  prefixDigest,
} from '@fighub/core';
import type { AttemptEnd, WorkClass } from '@fighub/decisions';
import { AttemptEnd as Ends, RetryBudget } from '@fighub/decisions';
import type { Engine, EngineChunk, EngineEnd, Fencing, SilenceLimits } from '@fighub/outside';
import { EngineEndKind } from '@fighub/outside';

/** A completion that is wanted. */
export interface CompletionSpec {
  readonly requestId: string;
  readonly organisation: string;
  readonly model: string;
  readonly prompt: string;
  readonly maxTokens: number;
  /** No attempt is started after this time; batch items are ordered by it. */
  readonly deadlineUnixMs: number;
  readonly workClass: WorkClass;
  readonly idempotent: boolean;
  readonly alone: boolean;
  /** Lease under which the work is done, for upstreams that check it. */
  readonly fencing?: Fencing;
  /** Tokens that an earlier run has produced. */
  readonly tokensSoFar: readonly string[];
  /** Asked right before each dispatch; false forbids it. */
  readonly mayDispatch?: () => boolean;
  /** Called at the moment of each dispatch, to check what must hold then. */
  readonly onDispatch?: () => void;
  readonly onToken?: (text: string) => void;
}

/** How a completion ended. */
export const CompletionKind = {
  completed: 'completed',
  /** Refused or failed; `problem` says whether it may have run. */
  failed: 'failed',
  /** The owner of the pool took the place back. */
  preempted: 'preempted',
  /** The caller went away or the work was withdrawn. */
  cancelled: 'cancelled',
  /** The upstream cannot do this request. */
  rejected: 'rejected',
} as const;
export type CompletionKind = (typeof CompletionKind)[keyof typeof CompletionKind];

/** End of a completion. */
export interface CompletionEnd {
  readonly kind: CompletionKind;
  readonly tokens: readonly string[];
  readonly problem?: Problem;
  /** Whether the replica broke with this stream in flight. */
  readonly brokeReplica: boolean;
  /** Whether any byte of an attempt may have reached an upstream. */
  readonly sent: boolean;
}

interface Attempt {
  readonly end: EngineEnd;
  readonly preempted: boolean;
}

const EXCLUDED_AT_MOST = 3;

/** Runs completions for the gateway and the batch runner. */
export class CompletionRunner {
  private readonly budget: RetryBudget;

  constructor(
    private readonly permits: PermitClient,
    private readonly engine: Engine,
    private readonly upstreams: UpstreamStates,
    private readonly limits: SilenceLimits,
    retryFraction: number,
    private readonly clock: Clock,
    private readonly metrics: Metrics,
  ) {
    this.budget = new RetryBudget(retryFraction, 1, 20);
  }

  /** Runs until a whole answer, a refusal or a stop. */
  async run(spec: CompletionSpec, signal: AbortSignal): Promise<CompletionEnd> {
    this.budget.onRequest();
    return new CompletionRun(spec, signal, this).run();
  }

  /** Retries that the budget allows, for the dump. */
  get retriesAvailable(): number {
    return this.budget.available;
  }

  /** Parts that single runs use. */
  get parts(): RunParts {
    return {
      permits: this.permits,
      engine: this.engine,
      upstreams: this.upstreams,
      limits: this.limits,
      budget: this.budget,
      clock: this.clock,
      metrics: this.metrics,
    };
  }
}

interface RunParts {
  readonly permits: PermitClient;
  readonly engine: Engine;
  readonly upstreams: UpstreamStates;
  readonly limits: SilenceLimits;
  readonly budget: RetryBudget;
  readonly clock: Clock;
  readonly metrics: Metrics;
}

/** State of one completion. */
export class CompletionRun {
  private readonly tokens: string[];
  private readonly excluded: string[] = [];
  private everSent = false;
  private brokeReplica = false;
  private readonly parts: RunParts;

  constructor(
    private readonly spec: CompletionSpec,
    private readonly signal: AbortSignal,
    runner: CompletionRunner,
  ) {
    this.tokens = [...spec.tokensSoFar];
    this.parts = runner.parts;
  }

  async run(): Promise<CompletionEnd> {
    for (;;) {
      const place = await this.parts.permits.acquire(this.demand(), this.signal);
      if (this.signal.aborted) {
        if (place.ok) this.parts.permits.release(place.value, { end: Ends.cancelled, tokens: 0 });
        return this.ended(CompletionKind.cancelled);
      }
      if (!place.ok) return this.refusedPlace(place.error);
      const attempt = await this.attempt(place.value);
      const final = this.judge(attempt, place.value);
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
      excludedReplicaIds: this.excluded.slice(-EXCLUDED_AT_MOST),
      resumable: spec.idempotent,
      alone: spec.alone,
    };
  }

  private async attempt(place: Slot): Promise<Attempt> {
    if (this.spec.mayDispatch && !this.spec.mayDispatch()) {
      this.parts.permits.release(place, { end: Ends.cancelled, tokens: 0 });
      return {
        end: { kind: EngineEndKind.cancelled, detail: 'dispatch is not allowed', sent: false },
        preempted: false,
      };
    }
    const { spec } = this;
    const attemptId = newId('att');
    const startedMs = this.parts.clock.monotonicMs();
    const firstToken = this.tokens.length;
    let firstTokenMs: number | undefined;
    const gap = new AbortController();
    const onChunk = (chunk: EngineChunk): void => {
      if (!this.accepts(chunk, attemptId, gap)) return;
      checkInvariant(
        InvariantName.streamChunkBelongs,
        chunk.requestId === spec.requestId && chunk.tokenIndex === this.tokens.length,
        () => ({ requestId: spec.requestId, chunk }),
      );
      firstTokenMs ??= this.parts.clock.monotonicMs() - startedMs;
      this.tokens.push(chunk.text);
      this.spec.onToken?.(chunk.text);
    };
    const call = {
      address: place.address,
      requestId: spec.requestId,
      attemptId,
      organisation: spec.organisation,
      model: spec.model,
      prompt: spec.prompt,
      maxTokens: spec.maxTokens,
      fromToken: firstToken,
      fencing: place.fencingChecked ? spec.fencing : undefined,
      idempotent: spec.idempotent,
    };
    spec.onDispatch?.();
    const stop = AbortSignal.any([this.signal, place.revoked, gap.signal]);
    const ran = await this.parts.engine.run(call, this.parts.limits, onChunk, stop);
    const end = gap.signal.aborted
      ? { ...ran, kind: EngineEndKind.broken, detail: 'a token was missing' }
      : ran;
    this.everSent ||= end.sent;
    const tokens = this.tokens.length - firstToken;
    const streamMs = this.parts.clock.monotonicMs() - startedMs - (firstTokenMs ?? 0);
    this.parts.permits.release(place, {
      end: await this.blame(end, place),
      tokens,
      firstTokenMs,
      betweenTokensMs: tokens > 1 ? streamMs / (tokens - 1) : undefined,
    });
    return { end, preempted: place.revoked.aborted && !this.signal.aborted };
  }

  /** Only the next token of this attempt is taken; anything late, doubled or crossed is dropped. */
  accepts(chunk: EngineChunk, attemptId: string, gap: AbortController): boolean {
    const belongs = chunk.requestId === this.spec.requestId && chunk.attemptId === attemptId;
    const isNext = chunk.tokenIndex === this.tokens.length;
    if (belongs && chunk.tokenIndex > this.tokens.length) gap.abort();
    if (!belongs || !isNext) this.parts.metrics.count('stream_chunks_dropped');
    return belongs && isNext;
  }

  /** A silent connection is no evidence against a replica that answers on a new one. */
  private async blame(end: EngineEnd, place: Slot): Promise<AttemptEnd> {
    if (end.kind === EngineEndKind.silent) {
      this.parts.metrics.count('upstream_connections_silent');
      const answers = (await this.parts.engine.load(place.address)) !== undefined;
      return answers ? Ends.cancelled : Ends.broken;
    }
    if (end.kind === EngineEndKind.leaving) this.parts.upstreams.markLeaving(place.replicaId);
    return ATTEMPT_ENDS[end.kind];
  }

  /** The final end, or undefined when another attempt is to be made. */
  private judge(attempt: Attempt, place: Slot): CompletionEnd | undefined {
    const { end } = attempt;
    if (end.kind === EngineEndKind.completed) return this.ended(CompletionKind.completed);
    if (attempt.preempted) return this.ended(CompletionKind.preempted);
    if (end.kind === EngineEndKind.cancelled) return this.ended(CompletionKind.cancelled);
    if (end.kind === EngineEndKind.rejected) return this.ended(CompletionKind.rejected, this.failure(end));
    if (end.kind === EngineEndKind.broken || end.kind === EngineEndKind.silent) this.brokeReplica = true;
    if (!this.mayRetry(end)) return this.ended(CompletionKind.failed, this.failure(end));
    this.parts.metrics.count('attempts_repeated');
    if (end.kind !== EngineEndKind.silent) this.excluded.push(place.replicaId);
    return undefined;
  }

  private mayRetry(end: EngineEnd): boolean {
    if (end.sent && !this.spec.idempotent) return false;
    if (this.parts.clock.nowUnixMs() >= this.spec.deadlineUnixMs) return false;
    if (this.spec.workClass === 'batch') return false;
    const allowed = this.parts.budget.tryRetry(this.parts.clock.monotonicMs());
    if (!allowed) this.parts.metrics.count('retries_over_budget');
    return allowed;
  }

  private failure(end: EngineEnd): Problem {
    const detail = `the upstream failed: ${end.detail}`;
    if (end.kind === EngineEndKind.rejected && !end.sent) return notRun('upstream_failed', detail);
    return this.everSent ? mayHaveRun('upstream_failed', detail) : notRun('upstream_failed', detail, 1_000);
  }

  /** After an earlier attempt was sent, a missing place no longer means that nothing ran. */
  private refusedPlace(problem: Problem): CompletionEnd {
    if (!this.everSent) return this.ended(CompletionKind.failed, problem);
    return this.ended(CompletionKind.failed, mayHaveRun('upstream_failed', problem.detail));
  }

  private ended(kind: CompletionKind, problem?: Problem): CompletionEnd {
    checkInvariant(
      InvariantName.notRunNothingSent,
      problem?.run !== RunClaim.notRun || !this.everSent,
      () => ({ requestId: this.spec.requestId, problem }),
    );
    return { kind, tokens: this.tokens, problem, brokeReplica: this.brokeReplica, sent: this.everSent };
  }
}

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
