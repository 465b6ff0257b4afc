/** Moves jobs from the index of open jobs to the index of ended jobs. */
import type { JobManifest } from '@fighub/core';
import { jobKeys } from '@fighub/core';
import type { RecordStore } from '@fighub/outside';

import type { OpenJob } from './job-intake.js';

/** Entry of the index of ended jobs. The collector reads it to find jobs whose retention is over. */
export interface EndedJob {
  readonly jobId: string;
  readonly organisation: string;
  readonly model: string;
  readonly endedAtUnixMs: number;
}

/**
 * Moves a job to the index of ended jobs. The ended entry is written first, so that a crash in between leaves both
 * entries instead of none. The next instance that reads the open entry of a cancelled job moves the job again.
 */
export async function moveToEnded(store: RecordStore, manifest: JobManifest): Promise<void> {
  const { jobId, organisation, model, endedAtUnixMs = manifest.createdAtUnixMs } = manifest;
  const ended: EndedJob = { jobId, organisation, model, endedAtUnixMs };
  await store.write(jobKeys.ended(jobId), undefined, ended);
  const entry = await store.read<OpenJob>(jobKeys.open(jobId));
  if (entry.ok && entry.value) await store.remove(entry.value);
}
