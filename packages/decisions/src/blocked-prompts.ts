/** Prompts that are sent to no replica for a while, because requests with them have crashed replicas. */
import { notRun } from '@fighub/core';

/** A set of prompt parts. Requests whose prompts contain all of them are refused. */
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
  'requests with a part of this prompt have crashed replicas',
);

/** Bounds the memory and the size of the messages that carry the table. */
const MAX_BLOCKED_PROMPTS = 256;
/** After a block has ended, its parts are remembered for this long, so that one more crash blocks them again. */
const PROBATION_MS = 86_400_000;

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
