/** Random identifiers and digests. */
import { createHash, randomBytes } from 'node:crypto';

const ID_BYTES = 12;

/** Returns a new random identifier with a readable prefix, for example `req-9f3c…`. */
export function newId(prefix: string): string {
  return `${prefix}-${randomBytes(ID_BYTES).toString('hex')}`;
}

/** Whether two ids that `newId` returned have the same prefix, such as those of two processes of one instance. */
export function haveSamePrefix(id: string, otherId: string): boolean {
  const randomLength = 1 + 2 * ID_BYTES;
  return id.length > randomLength && id.slice(0, -randomLength) === otherId.slice(0, -randomLength);
}

/**
 * SHA-256 of the parts as hexadecimal text. The length of each part is hashed too, so that the parts `ab`, `c` and the
 * parts `a`, `bc` have different digests.
 */
export function digest(...parts: readonly string[]): string {
  const hash = createHash('sha256');
  parts.forEach((part) => hash.update(`${String(part.length)}:${part}`));
  return hash.digest('hex');
}

/**
 * Digest of a caller's key, by which instances know it. Keys are random and long, so that a digest does not reveal them
 * and comparing digests takes a time that says nothing about the key.
 */
export function keyDigest(key: string): string {
  return digest('key', key);
}

/** The first 32 bits of the digest, as an unsigned number. */
export function digestNumber(...parts: readonly string[]): number {
  return parseInt(digest(...parts).slice(0, 8), 16);
}

/** Number of characters at the start of a prompt that its prefix digest covers. */
const PREFIX_LENGTH_CHARACTERS = 256;
const PREFIX_DIGEST_CHARACTERS = 16;

/**
 * Identifies the start of a prompt for a model. Prompts with the same digest probably share a prefix that an engine
 * has cached.
 */
export function prefixDigest(model: string, prompt: string): string {
  return digest(model, prompt.slice(0, PREFIX_LENGTH_CHARACTERS)).slice(0, PREFIX_DIGEST_CHARACTERS);
}
