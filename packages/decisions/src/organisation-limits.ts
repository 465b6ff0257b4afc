/** Limits of organisations in one pool: streams in flight, requests a second, tokens a second. */
import type { OrganisationLimitSettings, PlaceRequest } from './pool-types.js';
import { TokenBucket } from './token-bucket.js';

interface OrganisationUse {
  inFlight: number;
  requests?: TokenBucket;
  tokens?: TokenBucket;
}

/** Counts what each organisation uses and answers whether one more request fits. */
export class OrganisationLimits {
  private readonly uses = new Map<string, OrganisationUse>();

  /** Whether the request may start now. */
  admits(request: PlaceRequest, settings: OrganisationLimitSettings, nowMs: number): boolean {
    const use = this.useOf(request.organisation);
    if (settings.maxInFlight !== undefined && use.inFlight >= settings.maxInFlight) return false;
    const requests = bucketFor(use.requests, settings.requestsPerSecond);
    if (requests && requests.available(nowMs) < 1) return false;
    const tokens = bucketFor(use.tokens, settings.tokensPerSecond);
    return !tokens || tokens.available(nowMs) > 0;
  }

  /** Charges the rates when a request starts. */
  onStart(request: PlaceRequest, settings: OrganisationLimitSettings, nowMs: number): void {
    const use = this.useOf(request.organisation);
    use.requests = bucketFor(use.requests, settings.requestsPerSecond);
    use.tokens = bucketFor(use.tokens, settings.tokensPerSecond);
    use.requests?.take(1, nowMs);
    use.tokens?.take(request.costTokens, nowMs);
  }

  onGrant(organisation: string): void {
    this.useOf(organisation).inFlight += 1;
  }

  onRelease(organisation: string): void {
    this.useOf(organisation).inFlight -= 1;
  }

  private useOf(organisation: string): OrganisationUse {
    const known = this.uses.get(organisation);
    if (known) return known;
    const created = { inFlight: 0 };
    this.uses.set(organisation, created);
    return created;
  }
}

function bucketFor(bucket: TokenBucket | undefined, ratePerSecond?: number): TokenBucket | undefined {
  if (ratePerSecond === undefined) return undefined;
  const burst = Math.max(1, ratePerSecond);
  if (!bucket) return new TokenBucket(ratePerSecond, burst);
  bucket.configure(ratePerSecond, burst);
  return bucket;
}
