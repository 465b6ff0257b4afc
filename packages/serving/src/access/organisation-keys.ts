/** Finds the organisation that holds a key. */
import type { Organisation } from '@fighub/core';
import { keyDigest } from '@fighub/core';

/** The organisations of one version of the configuration. */
export class OrganisationKeys {
  private readonly byDigest: ReadonlyMap<string, Organisation>;
  private readonly byName: ReadonlyMap<string, Organisation>;

  constructor(organisations: readonly Organisation[]) {
    this.byDigest = new Map(
      organisations.flatMap((organisation) =>
        organisation.keyDigests.map((digest) => [digest, organisation] as const),
      ),
    );
    this.byName = new Map(organisations.map((organisation) => [organisation.name, organisation]));
  }

  /** The organisation that holds `key`; undefined if none does. */
  holderOf(key: string): Organisation | undefined {
    return this.byDigest.get(keyDigest(key));
  }

  /** The organisation of this name; undefined if there is none. */
  named(name: string): Organisation | undefined {
    return this.byName.get(name);
  }
}
