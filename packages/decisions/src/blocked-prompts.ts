/** Prompts that are sent to no replica for a while, because requests with them have crashed replicas. */
import { notRun } from '@fighub/core';

/** What a request is judged by: ids of the parts of its prompt that others may share, and what its repeats share. */
export interface JudgedRequest {
  readonly sharedPartIds: readonly string[];
  /** The same for all repeats of a request; undefined for work that is only judged by the parts of its prompt. */
  readonly requestDigest?: string;
}

/**
 * A set of prompt parts. Requests whose prompts contain all of them are refused. A whole request is blocked as a part that
 * only its repeats have.
 */
export interface BlockedPrompt {
  readonly partIds: readonly string[];
  /** End of the block, in monotonic time. */
  readonly untilMs: number;
  /** How many times in a row these parts have been blocked. */
  readonly blockCount: number;
}

/** The refusal of a request with a blocked prompt. */
export const PROMPT_BLOCKED = notRun(
  'prompt_crashes_upstream',
  'this request, or others with a part of its prompt, have crashed replicas',
);

/** Bounds the memory and the size of the messages that carry the table. */
const MAX_BLOCKED_PROMPTS = 256;
/** Time of the first block of a prompt. It doubles with each further one. */
const FIRST_BLOCK_MS = 600_000;
const MAX_BLOCK_MS = 21_600_000;
/** After a block has ended, its parts are remembered for this long, so that one more crash blocks them again. */
const PROBATION_MS = 86_400_000;

/** Id by which a whole request is blocked. */
export function partIdOfRequest(requestDigest: string): string {
  return `request/${requestDigest}`;
}

/** All ids by which a request may be blocked. */
export function judgedPartIds({ sharedPartIds, requestDigest }: JudgedRequest): readonly string[] {
  return requestDigest === undefined ? sharedPartIds : [...sharedPartIds, partIdOfRequest(requestDigest)];
}

/** The blocked prompts that one instance knows. */
export class BlockedPrompts {
  /** The blocks that contain a part, by its id. */
  private readonly byPart = new Map<string, BlockedPrompt[]>();
  private readonly blocks = new Set<BlockedPrompt>();
  private additions = 0;

  /** Increases with each block that is added. */
  get version(): number {
    return this.additions;
  }

  /**
   * Adds a block. It replaces those of supersets of its parts, and does nothing if a subset is blocked already. Returns
   * whether more prompts are blocked than before.
   */
  add(block: BlockedPrompt, nowMs: number): boolean {
    if (block.partIds.length === 0 || block.untilMs <= nowMs || this.find(block.partIds, nowMs)) return false;
    this.sharing(block.partIds, nowMs)
      .filter(({ partIds }) => containsAll(partIds, block.partIds))
      .forEach((superset) => this.delete(superset));
    if (this.blocks.size >= MAX_BLOCKED_PROMPTS) this.deleteFirstToEnd();
    this.additions += 1;
    this.blocks.add(block);
    block.partIds.forEach((partId) => this.byPart.set(partId, [...(this.byPart.get(partId) ?? []), block]));
    return true;
  }

  /**
   * Blocks these parts, for twice as long as the last time if they were blocked before. Returns the block; undefined if
   * they are blocked already.
   */
  block(partIds: readonly string[], nowMs: number): BlockedPrompt | undefined {
    const blockCount = (this.findEnded(partIds, nowMs)?.blockCount ?? 0) + 1;
    const durationMs = Math.min(MAX_BLOCK_MS, FIRST_BLOCK_MS * 2 ** (blockCount - 1));
    const block = { partIds, untilMs: nowMs + durationMs, blockCount };
    return this.add(block, nowMs) ? block : undefined;
  }

  /** Whether a request is refused now. */
  refuses(request: JudgedRequest, nowMs: number): boolean {
    return this.blocks.size > 0 && this.find(judgedPartIds(request), nowMs) !== undefined;
  }

  /** The block that refuses a prompt with these parts now; undefined if there is none. */
  find(partIds: readonly string[], nowMs: number): BlockedPrompt | undefined {
    return this.sharing(partIds, nowMs).find(
      (block) => nowMs < block.untilMs && containsAll(partIds, block.partIds),
    );
  }

  /** A block of a prompt with these parts that has ended; undefined if there is none. */
  findEnded(partIds: readonly string[], nowMs: number): BlockedPrompt | undefined {
    return this.sharing(partIds, nowMs).find(
      (block) => nowMs >= block.untilMs && containsAll(partIds, block.partIds),
    );
  }

  /** The blocks that have one of these parts, also those that have ended not long ago. */
  sharing(partIds: readonly string[], nowMs: number): BlockedPrompt[] {
    if (this.blocks.size === 0) return [];
    const found = [...new Set(partIds.flatMap((partId) => this.byPart.get(partId) ?? []))];
    const isForgotten = ({ untilMs }: BlockedPrompt): boolean => nowMs >= untilMs + PROBATION_MS;
    found.filter(isForgotten).forEach((block) => this.delete(block));
    return found.filter((block) => !isForgotten(block));
  }

  /** Removes the blocks of a prompt with these parts, because a request with it has run. */
  remove(partIds: readonly string[], nowMs: number): void {
    this.sharing(partIds, nowMs)
      .filter((block) => containsAll(partIds, block.partIds))
      .forEach((block) => this.delete(block));
  }

  /** The blocks that hold now. */
  active(nowMs: number): BlockedPrompt[] {
    return [...this.blocks].filter(({ untilMs }) => nowMs < untilMs);
  }

  private deleteFirstToEnd(): void {
    this.delete([...this.blocks].reduce((a, b) => (b.untilMs < a.untilMs ? b : a)));
  }

  private delete(block: BlockedPrompt): void {
    this.blocks.delete(block);
    block.partIds.forEach((partId) => {
      const kept = (this.byPart.get(partId) ?? []).filter((other) => other !== block);
      if (kept.length === 0) this.byPart.delete(partId);
      else this.byPart.set(partId, kept);
    });
  }
}

function containsAll(partIds: readonly string[], wanted: readonly string[]): boolean {
  return wanted.every((partId) => partIds.includes(partId));
}
