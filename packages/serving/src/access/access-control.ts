/** Checks the keys of callers at the instance that they have reached. */
import type { DecisionLog, Metrics, Organisation, Outcome, Problem, Route } from '@fighub/core';
import { LogCategory, fail, notRun, ok } from '@fighub/core';

import type { FleetView } from '../routing/fleet-view.js';

/** Another instance may know the keys, so that callers need not wait for this one to hear of them. */
const UNCONFIRMED_RETRY_MS = 250;

/** How well this instance knows the keys that are in force. */
export interface KeyKnowledge {
  /** Whether no key can have been withdrawn for longer than the configured limit without this instance knowing. */
  readonly isConfirmed: boolean;
  /** Age of the newest proof, in milliseconds, for the log. */
  readonly ageMs: number;
}

/**
 * Decides whose request it is. A request is checked once, when it arrives: a key that is withdrawn later counts for requests
 * that are sent later.
 */
export class AccessControl {
  constructor(
    private readonly view: FleetView,
    private readonly knowledge: KeyKnowledge,
    private readonly metrics: Metrics,
    private readonly log: DecisionLog,
    /** Whether a key or an anonymous route that the configuration in force lacks is known not to exist. */
    private readonly mayRefuseForGood: () => boolean = () => true,
  ) {}

  /**
   * The organisation that holds `key`; undefined where the configuration has no organisations, or for a request without a
   * known key on an anonymous route. Fails with `unauthenticated` if a key is needed and none or an unknown one was
   * sent, and with `keys_unconfirmed` if this instance cannot tell which keys are in force, or whether an unknown one was added.
   * `requestId` is for the log.
   */
  authenticate(
    key: string | undefined,
    requestId: string | undefined,
    route: Pick<Route, 'anonymous'> = {},
  ): Outcome<Organisation | undefined, Problem> {
    const { organisationKeys } = this.view;
    if (!organisationKeys) return ok(undefined);
    if (!this.knowledge.isConfirmed) {
      if (route.anonymous) return ok(undefined);
      const detail = 'this instance cannot tell at present which keys are in force';
      return this.refuse(notRun('keys_unconfirmed', detail, UNCONFIRMED_RETRY_MS), requestId);
    }
    const holder = key === undefined ? undefined : organisationKeys.holderOf(key);
    if (holder || route.anonymous) return ok(holder);
    const detail = key === undefined ? 'a key is required' : 'the key is not known';
    return this.mayRefuseForGood()
      ? this.refuse(notRun('unauthenticated', detail), requestId)
      : this.refuse(
          notRun('keys_unconfirmed', `${detail} at this instance`, UNCONFIRMED_RETRY_MS),
          requestId,
        );
  }

  private refuse(problem: Problem, requestId: string | undefined): Outcome<never, Problem> {
    this.metrics.count('requests_without_access', 1, [problem.code]);
    this.log.record(LogCategory.failure, 'access_refused', {
      requestId,
      code: problem.code,
      detail: problem.detail,
      configurationVersion: this.view.configurationVersion,
      knowledgeAgeMs: Number.isFinite(this.knowledge.ageMs) ? Math.round(this.knowledge.ageMs) : undefined,
    });
    return fail(problem);
  }
}
