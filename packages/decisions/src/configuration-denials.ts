/**
 * Decides whether a request may be refused for good because the configuration in force lacks what it names: its route, its caller's
 * key, its organisation. Load that it answers: callers that use what was just added, at an instance that has not received the newer
 * version. They do not send a request again that was refused for good, although another instance would serve it.
 */

/** What an instance knows about its configuration. */
export interface ConfigurationStanding {
  /** Version of the configuration in force. */
  readonly version: number;
  /** The highest version that others have named since the one in force was last confirmed; 0 for none. */
  readonly newestNamedVersion: number;
  /** Whether the instance has recently reached neither the store nor an instance that reads it. */
  readonly isCutOff: boolean;
}

/** Whether what the configuration lacks is known not to exist, as far as this instance can tell. */
export function mayRefuseForGood({ version, newestNamedVersion, isCutOff }: ConfigurationStanding): boolean {
  return !isCutOff && newestNamedVersion <= version;
}
