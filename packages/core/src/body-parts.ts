/** Collects the parts of a body that is read as a whole. Answers senders of very small parts, each of which takes some 400 bytes of memory. */

/** A part of this size is kept as it is; smaller ones are copied into blocks. */
const SMALL_PART_BYTES = 16_384;
/** Size of the first block of a body. Each block that is full is replaced by one of twice its size, up to the largest. */
const FIRST_BLOCK_BYTES = 512;
const MAX_BLOCK_BYTES = 65_536;

/** The parts of one body, of which there are few however small those are that have arrived. */
export class BodyParts {
  private readonly parts: Buffer[] = [];
  /** The block that small parts are copied into, and the bytes of it that are used. */
  private block: Buffer = Buffer.alloc(0);
  private blockBytes = 0;

  /** Parts that are kept. */
  get count(): number {
    return this.parts.length + (this.blockBytes > 0 ? 1 : 0);
  }

  /** Bytes of memory that a part of `bytes` takes beyond what the body takes already. */
  memoryFor(bytes: number): number {
    if (bytes >= SMALL_PART_BYTES) return bytes;
    const needed = this.blockBytes + bytes;
    if (needed <= this.block.length) return 0;
    return needed <= MAX_BLOCK_BYTES ? blockSize(needed) - this.block.length : blockSize(bytes);
  }

  add(part: Buffer): void {
    if (part.length >= SMALL_PART_BYTES) {
      this.completeBlock();
      this.parts.push(part);
      return;
    }
    const needed = this.blockBytes + part.length;
    if (needed > MAX_BLOCK_BYTES) this.completeBlock();
    if (this.blockBytes + part.length > this.block.length) this.growBlock(this.blockBytes + part.length);
    this.blockBytes += part.copy(this.block, this.blockBytes);
  }

  /** Gives all parts up. */
  clear(): void {
    this.parts.length = 0;
    this.block = Buffer.alloc(0);
    this.blockBytes = 0;
  }

  /** The whole body. */
  whole(): Buffer {
    this.completeBlock();
    const [only] = this.parts;
    return only && this.parts.length === 1 ? only : Buffer.concat(this.parts);
  }

  private growBlock(bytes: number): void {
    // A buffer from the pool of Node.js would keep the whole pool in memory.
    const block = Buffer.allocUnsafeSlow(blockSize(bytes));
    this.block.copy(block, 0, 0, this.blockBytes);
    this.block = block;
  }

  private completeBlock(): void {
    if (this.blockBytes > 0) this.parts.push(this.block.subarray(0, this.blockBytes));
    this.block = Buffer.alloc(0);
    this.blockBytes = 0;
  }
}

/** The smallest size of a block that has room for `bytes`. */
function blockSize(bytes: number): number {
  return Math.max(FIRST_BLOCK_BYTES, 2 ** Math.ceil(Math.log2(bytes)));
}
