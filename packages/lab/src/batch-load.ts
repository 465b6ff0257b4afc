/** Batch load of experiments: creates jobs, waits for them and checks their results. */
import type { ApiClient } from '@fighub/client';
import type { ItemResult } from '@fighub/core';

import type { Fleet } from './fleet.js';
import { waitFor } from './fleet.js';
import { expectedText } from './online-load.js';

/** A job that an experiment created, with what is needed to check its results. */
export interface LabJob {
  readonly jobId: string;
  readonly organisation: string;
  /** Number of items. */
  readonly items: number;
  /** Number of tokens in the result of each item. */
  readonly tokens: number;
  /** Idempotency key of the job and prefix of its prompts. */
  readonly label: string;
}

/** Numbers of errors in the results of a job. */
export interface JobCheck {
  /** Items without a result. */
  readonly lost: number;
  /** Results beyond the first of their item. */
  readonly doubled: number;
  /** Successful results whose text does not belong to the item's prompt. */
  readonly wrong: number;
  /** Results whose status is not `succeeded`. */
  readonly failed: number;
}

const MAX_SEND_ATTEMPTS = 40;
const SEND_RETRY_DELAY_MS = 500;

/** Prompt of the item at `index` of the job with this label. */
export function itemPrompt(label: string, index: number): string {
  return `${label} bulletin ${String(index)}`;
}

/**
 * Creates a job. Until it is accepted, the request is retried on each entry in turn with the same idempotency key, so
 * that the job is created only once. Throws when all attempts fail.
 */
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
  throw new Error(`job ${label} was not accepted: every attempt failed`);
}

/** Waits until a job is no longer open. Throws after `timeoutMs`. */
export async function waitForJob(fleet: Fleet, job: LabJob, timeoutMs: number): Promise<void> {
  await waitFor(`job ${job.label}`, async () => (await jobState(fleet, job)) !== 'open', timeoutMs);
}

/** State of a job as a running entry reports it; `open` when the request fails. */
export async function jobState(fleet: Fleet, job: LabJob): Promise<string> {
  const status = await clientOfRunningEntry(fleet, job.organisation).job(job.jobId);
  return status.ok ? status.value.state : 'open';
}

/** API client of an organisation for the first running entry. */
export function clientOfRunningEntry(fleet: Fleet, organisation: string): ApiClient {
  const entry = fleet.entries.find((candidate) => candidate.process.running) ?? fleet.entry(0);
  return fleet.caller(entry, organisation);
}

/** Reads all results of a job and checks them. Throws when they cannot be read. */
export async function checkJob(fleet: Fleet, job: LabJob): Promise<JobCheck> {
  const results = await clientOfRunningEntry(fleet, job.organisation).allResults(job.jobId);
  if (!results.ok) throw new Error(`cannot read the results of job ${job.label}: ${results.error.detail}`);
  return compareResults(job, results.value);
}

/** Compares the results of a job with its items. */
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
