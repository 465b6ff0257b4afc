/** Moves a job from the index of open jobs to that of ended ones. */
import type { JobManifest } from '@fighub/core';
import { jobKeys } from '@fighub/core';
import type { RecordStore } from '@fighub/outside';

import type { OpenJob } from './job-intake.js';

/** Entry of the index of ended jobs, by which the collector finds results past their retention. */
export interface EndedJob {
  readonly jobId: string;
  readonly organisation: string;
  readonly model: string;
  readonly endedAtUnixMs: number;
}

/** Writes the ended entry first: a crash in between leaves both, and the next reader moves it again. */
export async function moveToEnded(store: RecordStore, manifest: JobManifest): Promise<void> {
  const { jobId, organisation, model, endedAtUnixMs = manifest.createdAtUnixMs } = manifest;
  const ended: EndedJob = { jobId, organisation, model, endedAtUnixMs };
  await store.write(jobKeys.ended(jobId), undefined, ended);
  const entry = await store.read<OpenJob>(jobKeys.open(jobId));
  if (entry.ok && entry.value) await store.remove(entry.value);
}
