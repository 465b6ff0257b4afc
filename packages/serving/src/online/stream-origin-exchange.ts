/** Exchanges with other instances where resumable streams began. */
import type { Clock, DecisionLog, Metrics, System } from '@fighub/core';
import { LogCategory } from '@fighub/core';
import type { KnownOrigin, ResumedStream, StreamOrigin } from '@fighub/decisions';
import { StreamOrigins, combineOrigins, keepersOf, membersToAsk } from '@fighub/decisions';
import type { KeptStream, MembershipRunner, PeerNode } from '@fighub/peers';

import type { OriginJournal } from './origin-journal.js';

/** A caller gets no answer to its request before the origin is known, so that a silent member must not hold it up. */
const ASK_TIMEOUT_MS = 100;

/**
 * Records origins here and at the members that keep them, and finds the origin of a stream that its caller takes up at
 * this instance. What neither this instance nor a keeper knows stays unknown.
 */
export class StreamOriginExchange implements System {
  readonly name = 'stream origins';
  private readonly origins = new StreamOrigins();
  /** Streams that have begun since the last notice, by the member that is to keep them. */
  private readonly outbox = new Map<string, KeptStream[]>();
  private flushScheduled = false;

  constructor(
    private readonly selfId: () => string,
    private readonly members: () => MembershipRunner,
    private readonly node: PeerNode,
    private readonly clock: Clock,
    private readonly metrics: Metrics,
    private readonly log: DecisionLog,
    /** Undefined where this instance has no disk. */
    private readonly journal?: OriginJournal,
  ) {
    node.onNotice('stream.begun', ({ streams }) => streams.forEach((stream) => this.keep(stream)));
    node.onRequest('stream.origin', (stream) => this.known(stream));
  }

  get busy(): boolean {
    return this.outbox.size > 0;
  }

  /** Records a stream that began at this instance. The notices to its keepers are sent in the same turn. */
  record(stream: KeptStream): void {
    this.keep(stream);
    keepersOf(stream.requestDigest ?? stream.requestId, this.members().owners())
      .filter((instanceId) => instanceId !== this.selfId())
      .forEach((instanceId) => this.outbox.set(instanceId, [...(this.outbox.get(instanceId) ?? []), stream]));
    this.scheduleFlush();
  }

  /** Finds where a stream began, at this instance or at its keepers; undefined when that is unknown. */
  async find(stream: ResumedStream): Promise<StreamOrigin | undefined> {
    const own = this.known(stream);
    const isNamed = stream.requestId !== undefined;
    if (isNamed && own.origin) return own.origin;
    const asked = membersToAsk(stream.requestDigest, this.members().owners()).filter(
      (instanceId) => instanceId !== this.selfId(),
    );
    const answers = asked.map((instanceId) => this.ask(instanceId, stream));
    // Without a name, other instances may know of another stream of the same request.
    const origin = isNamed
      ? await firstKnown(answers.map((answer) => answer.then((known) => known.origin)))
      : combineOrigins([own, ...(await Promise.all(answers))]).origin;
    this.metrics.count(origin ? 'stream_origins_found' : 'stream_origins_unknown');
    if (!origin) this.log.record(LogCategory.failure, 'stream_origin_unknown', { ...stream, asked });
    return origin;
  }

  /** Keeps origins that an earlier process of this instance has recorded. */
  restore(origins: readonly KeptStream[]): void {
    const nowMs = this.clock.monotonicMs();
    origins.forEach((stream) => this.origins.add(stream, nowMs + stream.keepForMs, nowMs));
  }

  run(nowMs: number): void {
    this.origins.run(nowMs);
  }

  dump(): Record<string, unknown> {
    return { kept: this.origins.size, journal: this.journal?.dump() };
  }

  private keep(stream: KeptStream): void {
    const nowMs = this.clock.monotonicMs();
    this.origins.add(stream, nowMs + stream.keepForMs, nowMs);
    this.journal?.add(stream);
  }

  private known(stream: ResumedStream): KnownOrigin {
    return this.origins.find(stream, this.clock.monotonicMs());
  }

  private async ask(instanceId: string, stream: ResumedStream): Promise<KnownOrigin> {
    const member = this.members().membership.get(instanceId);
    if (!member) return {};
    const answer = await this.node.request(member.peerAddress, 'stream.origin', stream, ASK_TIMEOUT_MS);
    return answer.ok ? answer.value : {};
  }

  private scheduleFlush(): void {
    if (this.flushScheduled) return;
    this.flushScheduled = true;
    setImmediate(() => {
      this.flushScheduled = false;
      this.outbox.forEach((streams, instanceId) => {
        const member = this.members().membership.get(instanceId);
        if (member) this.node.notify(member.peerAddress, 'stream.begun', { streams });
      });
      this.outbox.clear();
    });
  }
}

/** The first result that is not undefined; undefined once all results are, or have failed. */
function firstKnown<T>(results: readonly Promise<T | undefined>[]): Promise<T | undefined> {
  return new Promise((resolve) => {
    results.forEach((result) => {
      result.then(
        (value) => {
          if (value !== undefined) resolve(value);
        },
        () => undefined,
      );
    });
    void Promise.allSettled(results).then(() => resolve(undefined));
  });
}
