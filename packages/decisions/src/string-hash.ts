/** A fast hash of short strings (32-bit FNV-1a with a final mix), for choices that need no cryptographic strength. */

const OFFSET_BASIS = 0x811c9dc5;
const PRIME = 0x01000193;

/** Hash of a text as an unsigned 32-bit integer. */
export function hashOf(text: string): number {
  const hash = Array.from(text).reduce(
    (sum, character) => Math.imul(sum ^ (character.codePointAt(0) ?? 0), PRIME),
    OFFSET_BASIS,
  );
  return (Math.imul(hash ^ (hash >>> 15), PRIME) ^ (hash >>> 13)) >>> 0;
}
