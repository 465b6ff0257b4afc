/** Decides which chunks of unfinished batch jobs an instance should lease, and in which order. */
import type { JobManifest } from '@fighub/core';

import { winnerOf } from './rendezvous.js';

/** A chunk of a batch job with at least one item that has not ended. */
export interface OpenChunk {
  readonly job: JobManifest;
  /** Index of the chunk within the job. */
  readonly chunk: number;
}

/**
 * Orders chunks for leasing. Organisations are interleaved in proportion to their weights; within an
 * organisation the chunk with the earliest due time comes first. `heldItems` is the number of items per
 * organisation that this instance already holds in memory. It moves the organisation's chunks towards the end:
 * 100 held items count as one more chunk before them.
 */
export function orderChunks(
  chunks: readonly OpenChunk[],
  weightOf: (organisation: string, model: string) => number,
  heldItems: ReadonlyMap<string, number>,
): OpenChunk[] {
  const byOrganisation = new Map<string, OpenChunk[]>();
  chunks.forEach((chunk) => {
    const list = byOrganisation.get(chunk.job.organisation) ?? [];
    list.push(chunk);
    byOrganisation.set(chunk.job.organisation, list);
  });
  const ranked = [...byOrganisation.entries()].flatMap(([organisation, list]) =>
    [...list]
      .sort((a, b) => a.job.dueAtUnixMs - b.job.dueAtUnixMs || a.chunk - b.chunk)
      .map((chunk, position) => ({
        chunk,
        turn:
          (position + 1 + (heldItems.get(organisation) ?? 0) / 100) / weightOf(organisation, chunk.job.model),
      })),
  );
  return ranked.sort((a, b) => a.turn - b.turn).map((entry) => entry.chunk);
}

/**
 * Whether rendezvous hashing assigns the chunk to this instance, which may then lease it before the others do.
 */
export function prefersChunk(chunk: OpenChunk, instanceId: string, memberIds: readonly string[]): boolean {
  return winnerOf(`${chunk.job.jobId}/${String(chunk.chunk)}`, memberIds) === instanceId;
}
