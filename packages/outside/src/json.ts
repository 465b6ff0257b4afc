/** Parsing of JSON from sources that are not trusted to be valid. */

/** Returns the parsed value, or undefined if `text` is not valid JSON. */
export function parseJson(text: string): unknown {
  try {
    return JSON.parse(text) as unknown;
  } catch {
    return undefined;
  }
}
