/** Collects the parts of a body that is read as a whole. Answers senders of very small parts, each of which takes some 400 bytes of memory. */

/** A part of this size is kept as it is; smaller ones are joined. */
const SMALL_PART_BYTES = 16_384;
/** A part is joined with the one before unless that one is this many times as long, so that no byte is copied often. */
const JOIN_FACTOR = 2;

/** The parts of one body, of which there are few however small those are that have arrived. */
export class BodyParts {
  private readonly parts: Buffer[] = [];

  /** Parts that are kept. */
  get count(): number {
    return this.parts.length;
  }

  add(part: Buffer): void {
    let first = this.parts.length;
    let bytes = part.length;
    for (let before = this.parts[first - 1]; before; before = this.parts[first - 1]) {
      if (bytes >= SMALL_PART_BYTES || before.length >= bytes * JOIN_FACTOR) break;
      bytes += before.length;
      first -= 1;
    }
    const joined = [...this.parts.splice(first), part];
    this.parts.push(joined.length === 1 ? part : Buffer.concat(joined));
  }

  /** Gives all parts up. */
  clear(): void {
    this.parts.length = 0;
  }

  /** The whole body. */
  whole(): Buffer {
    return Buffer.concat(this.parts);
  }
}
