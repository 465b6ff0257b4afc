/** Batch load of experiments: jobs, their expected results and their check. */
import type { ApiClient } from '@fighub/client';
import type { ItemResult } from '@fighub/core';

import type { Fleet } from './fleet.js';
import { waitFor } from './fleet.js';
import { expectedText } from './online-load.js';

/** A job of an experiment. */
export interface LabJob {
  readonly jobId: string;
  readonly organisation: string;
  readonly items: number;
  readonly tokens: number;
  readonly label: string;
}

/** How the results of a job differ from what was accepted. */
export interface JobCheck {
  readonly lost: number;
  readonly doubled: number;
  readonly wrong: number;
  readonly failed: number;
}

const MAX_SEND_ATTEMPTS = 40;
const SEND_RETRY_DELAY_MS = 500;

/** The prompt of an item. */
export function itemPrompt(label: string, index: number): string {
  return `${label} bulletin ${String(index)}`;
}

/** Sends a job until it is accepted, with the same key each time, through any entry that answers. */
export async function sendJob(
  fleet: Fleet,
  organisation: string,
  label: string,
  items: number,
  tokens: number,
  options: { promptOf?: (index: number) => string; dueAtUnixMs?: number; idempotent?: boolean } = {},
): Promise<LabJob> {
  const promptOf = options.promptOf ?? ((index: number) => itemPrompt(label, index));
  const lines = Array.from({ length: items }, (_, index) =>
    JSON.stringify({ custom_id: `${label}-${String(index)}`, prompt: promptOf(index), max_tokens: tokens }),
  );
  for (let attempt = 0; attempt < MAX_SEND_ATTEMPTS; attempt += 1) {
    const caller = fleet.caller(fleet.entry(attempt), organisation);
    const sent = await caller.createJob({
      model: fleet.plan.model,
      lines,
      idempotencyKey: label,
      dueAtUnixMs: options.dueAtUnixMs,
      idempotent: options.idempotent,
    });
    if (sent.ok) return { jobId: sent.value.jobId, organisation, items, tokens, label };
    await new Promise((resolve) => setTimeout(resolve, SEND_RETRY_DELAY_MS));
  }
  throw new Error(`the job ${label} was not accepted`);
}

/** Waits until a job has ended. */
export async function waitForJob(fleet: Fleet, job: LabJob, timeoutMs: number): Promise<void> {
  await waitFor(`job ${job.label}`, async () => (await jobState(fleet, job)) !== 'open', timeoutMs);
}

/** State of a job, asked of any running entry. */
export async function jobState(fleet: Fleet, job: LabJob): Promise<string> {
  const status = await runningCaller(fleet, job.organisation).job(job.jobId);
  return status.ok ? status.value.state : 'open';
}

/** A client of some running entry. */
export function runningCaller(fleet: Fleet, organisation: string): ApiClient {
  const entry = fleet.entries.find((candidate) => candidate.process.running) ?? fleet.entry(0);
  return fleet.caller(entry, organisation);
}

/** Reads all results and compares them with what was accepted. */
export async function checkJob(fleet: Fleet, job: LabJob): Promise<JobCheck> {
  const results = await runningCaller(fleet, job.organisation).allResults(job.jobId);
  if (!results.ok) throw new Error(`results of ${job.label}: ${results.error.detail}`);
  return compareResults(job, results.value);
}

/** Compares results with the items of a job. */
export function compareResults(job: LabJob, results: readonly ItemResult[]): JobCheck {
  const indexes = results.map((result) => result.index);
  const distinct = new Set(indexes);
  return {
    lost: job.items - distinct.size,
    doubled: indexes.length - distinct.size,
    wrong: results.filter((result) => isWrong(result, job)).length,
    failed: results.filter((result) => result.status !== 'succeeded').length,
  };
}

function isWrong(result: ItemResult, job: LabJob): boolean {
  if (result.status !== 'succeeded') return false;
  return result.text !== expectedText(itemPrompt(job.label, result.index), job.tokens);
}
