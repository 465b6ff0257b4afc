/** Where the configuration and the directory are read from. */
import type { DirectorySnapshot, Outcome, RoutingConfiguration } from '@fighub/core';
import type { StoreError } from '@fighub/outside';

/** A reading of the configuration. */
export interface ConfigurationReading {
  /** Undefined when nothing has changed, or when there is none yet. */
  readonly configuration?: RoutingConfiguration;
  /** Store revision to go on from. */
  readonly revision: number;
}

/** Reads the platform's store. */
export interface FleetSource {
  /** Waits up to `waitMs` for a configuration after `revision`; 0 reads the present one at once. */
  nextConfiguration(revision: number, waitMs: number): Promise<Outcome<ConfigurationReading, StoreError>>;
  readDirectory(): Promise<Outcome<DirectorySnapshot, StoreError>>;
}
