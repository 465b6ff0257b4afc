/** When copies of slow requests are sent, by service, from the responses that this instance has passed on. */
import { HedgeDelay } from '@fighub/decisions';

/** The delays of all services. */
export class CopyDelays {
  private readonly byService = new Map<string, HedgeDelay>();

  /** The delay of a service, which is not known before it has responded to some requests. */
  of(service: string): HedgeDelay {
    const known = this.byService.get(service);
    if (known) return known;
    const created = new HedgeDelay();
    this.byService.set(service, created);
    return created;
  }
}
