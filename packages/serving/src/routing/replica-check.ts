import type { ReplicaRecord } from '@fighub/core';
import { isExactHeaderValue, splitAddress } from '@fighub/core';

/** Longest name of a service, failure domain or version, in UTF-16 code units. Names are sent to all instances. */
const MAX_NAME_LENGTH = 256;
/** Not encoded in messages between instances, where it becomes another character. */
const LONE_SURROGATE = /\p{Surrogate}/u;
/** Most slots of one replica. */
const MAX_SLOTS = 65_536;

/**
 * Why no request could ever run at a replica, or undefined if one can: each request names its replica in a header and goes to its address.
 * Entries of replicas may come from other writers, and from instances of earlier releases that have not checked them.
 */
export function replicaFault(replica: ReplicaRecord): string | undefined {
  const { replicaId, service, address, failureDomain, softwareVersion, slots } = replica;
  if (!isExactHeaderValue(replicaId)) return 'the id cannot be sent in a header';
  const { host, port } = splitAddress(address);
  if (host === '' || port <= 0) return 'the address has no valid port';
  if ([service, failureDomain, softwareVersion].some((name) => name.length > MAX_NAME_LENGTH))
    return `a name is longer than ${String(MAX_NAME_LENGTH)} characters`;
  if ([service, failureDomain, softwareVersion].some((name) => LONE_SURROGATE.test(name)))
    return 'a name is not well-formed Unicode';
  if (!Number.isSafeInteger(slots) || slots <= 0 || slots > MAX_SLOTS)
    return `the number of slots is not between 1 and ${String(MAX_SLOTS)}`;
  return undefined;
}
