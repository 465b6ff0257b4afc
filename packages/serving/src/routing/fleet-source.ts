/** Interface to the source of the routing configuration and of the replica directory. */
import type { DirectorySnapshot, Outcome, RoutingConfiguration } from '@fighub/core';
import type { StoreError } from '@fighub/outside';

/** The result of reading the configuration. */
export interface ConfigurationReading {
  /** Undefined when the configuration has not changed, or when there is none yet. */
  readonly configuration?: RoutingConfiguration;
  /** Why the stored configuration was not taken; undefined if it was. The version before stays in force. */
  readonly rejection?: string;
  /** Store revision to pass to the next read. */
  readonly revision: number;
}

/** An entry of the replica directory that names no replica to use. */
export interface RejectedEntry {
  readonly key: string;
  readonly reason: string;
}

/** The result of reading the directory. */
export interface DirectoryReading extends DirectorySnapshot {
  readonly rejected: readonly RejectedEntry[];
}

/** Reads the routing configuration and the replica directory from the hosting platform's store. */
export interface FleetSource {
  /** Waits up to `waitMs` for a configuration newer than `revision`; 0 returns the current one at once. */
  nextConfiguration(revision: number, waitMs: number): Promise<Outcome<ConfigurationReading, StoreError>>;
  /** Reads the configuration that is in force now. What was acknowledged before the call is contained in it. */
  currentConfiguration(): Promise<Outcome<ConfigurationReading, StoreError>>;
  /** Reads all registered replicas. Entries that name none are returned apart. */
  readDirectory(): Promise<Outcome<DirectoryReading, StoreError>>;
}
