/** Limits of organisations in one pool: streams in flight, requests per second and tokens per second. */
import type { OrganisationLimitSettings, SlotRequest } from './pool-types.js';
import { TokenBucket } from './token-bucket.js';

interface OrganisationUsage {
  inFlight: number;
  requests?: TokenBucket;
  tokens?: TokenBucket;
}

/** Tracks the streams and rates of each organisation and decides whether one more request is within its limits. */
export class OrganisationLimits {
  private readonly usages = new Map<string, OrganisationUsage>();

  /** Whether the request may start now. It does not charge anything; see `onStart`. */
  admits(request: SlotRequest, settings: OrganisationLimitSettings, nowMs: number): boolean {
    const usage = this.usageOf(request.organisation);
    if (settings.maxInFlight !== undefined && usage.inFlight >= settings.maxInFlight) return false;
    const requests = bucketFor(usage.requests, settings.requestsPerSecond);
    if (requests && requests.available(nowMs) < 1) return false;
    const tokens = bucketFor(usage.tokens, settings.tokensPerSecond);
    return !tokens || tokens.available(nowMs) > 0;
  }

  /** Charges a request that starts to the rate limits of its organisation. */
  onStart(request: SlotRequest, settings: OrganisationLimitSettings, nowMs: number): void {
    const usage = this.usageOf(request.organisation);
    usage.requests = bucketFor(usage.requests, settings.requestsPerSecond);
    usage.tokens = bucketFor(usage.tokens, settings.tokensPerSecond);
    usage.requests?.take(1, nowMs);
    usage.tokens?.take(request.costTokens, nowMs);
  }

  /** Counts a stream in flight, for a permit that was granted or adopted. */
  onGrant(organisation: string): void {
    this.usageOf(organisation).inFlight += 1;
  }

  /** Stops counting a stream in flight, for a permit that was removed. */
  onRelease(organisation: string): void {
    this.usageOf(organisation).inFlight -= 1;
  }

  private usageOf(organisation: string): OrganisationUsage {
    const known = this.usages.get(organisation);
    if (known) return known;
    const created = { inFlight: 0 };
    this.usages.set(organisation, created);
    return created;
  }
}

/** Returns the bucket with the rate applied, a new one when there is none, or undefined when the rate is unlimited. */
function bucketFor(bucket: TokenBucket | undefined, ratePerSecond?: number): TokenBucket | undefined {
  if (ratePerSecond === undefined) return undefined;
  const burst = Math.max(1, ratePerSecond);
  if (!bucket) return new TokenBucket(ratePerSecond, burst);
  bucket.configure(ratePerSecond, burst);
  return bucket;
}
