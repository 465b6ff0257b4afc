/** Chooses which chunks of open jobs an instance should lease. */
import type { JobManifest } from '@fighub/core';

import { winnerOf } from './rendezvous.js';

/** One chunk that is not complete. */
export interface OpenChunk {
  readonly job: JobManifest;
  readonly chunk: number;
}

/**
 * Orders chunks: organisations take turns by weight, inside an organisation the earliest due time is first.
 * `heldItems` is what each organisation already has in memory here.
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

/** Whether this instance is the one that should lease the chunk first. */
export function prefersChunk(chunk: OpenChunk, instanceId: string, memberIds: readonly string[]): boolean {
  return winnerOf(`${chunk.job.jobId}/${String(chunk.chunk)}`, memberIds) === instanceId;
}
