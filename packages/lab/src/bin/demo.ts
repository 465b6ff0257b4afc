#!/usr/bin/env -S node --disable-warning=DEP0111
/** Starts a small fleet on loopback and demonstrates online streams and a batch job. */
import meow from 'meow';

import { Fleet, countByStatus, waitFor } from '../fleet.js';

const ITEMS = 1_000;
const ITEM_TOKENS = 8;

const cli = meow(
  `
  Runs a small fleet on loopback with stand-ins for the hosting platform's services.

  Usage
    $ npm start [-- --once]

  Options
    --once  Exit after the summary instead of keeping the fleet running
`,
  { importMeta: import.meta, flags: { once: { type: 'boolean', default: false } } },
);

const printLine = (line: string): void => void process.stdout.write(`${line}\n`);

printLine('Starting 3 entry instances, 6 replicas, the key-value service and the instance list …');
const fleet = await Fleet.start();
process.on('SIGINT', () => void fleet.stop().then(() => process.exit(0)));

printLine('\nOnline: three callers stream through three instances.');
const streamOutcomes = await Promise.all(
  fleet.entries.map((entry, index) =>
    fleet
      .caller(entry, 'obloha')
      .stream(
        { model: 'alert-modely', prompt: `UV alert for school ${String(index)}`, maxTokens: 12 },
        (text) => {
          if (index === 0) process.stdout.write(text);
        },
      ),
  ),
);
printLine('');
streamOutcomes.forEach((outcome, index) => {
  const entryName = fleet.entry(index).name;
  if (outcome.ok)
    printLine(
      `  ${entryName}: ${String(outcome.value.tokens)} tokens, first after ${outcome.value.firstTokenMs.toFixed(0)} ms`,
    );
  else printLine(`  ${entryName}: failed, ${outcome.error.detail}`);
});

printLine(`\nBatch: a job of ${String(ITEMS)} items.`);
const lines = Array.from({ length: ITEMS }, (_, index) =>
  JSON.stringify({
    custom_id: `district-${String(index)}`,
    prompt: `Bulletin ${String(index)}`,
    max_tokens: ITEM_TOKENS,
  }),
);
const startedMs = performance.now();
const created = await fleet
  .caller(fleet.entry(0), 'obloha')
  .createJob({ model: 'alert-modely', lines, idempotencyKey: 'demo-job' });
if (!created.ok) throw new Error(created.error.detail);
const { jobId } = created.value;
printLine(`  accepted as ${jobId}`);
let lastShownPercent = -1;
await waitFor(
  'the job',
  async () => {
    const job = await fleet.caller(fleet.entry(1), 'obloha').job(jobId);
    if (!job.ok) return false;
    const percent = Math.floor((job.value.doneCount * 10) / job.value.itemCount) * 10;
    if (percent !== lastShownPercent)
      printLine(`  ${String(job.value.doneCount)} of ${String(job.value.itemCount)} items done`);
    lastShownPercent = percent;
    return job.value.state === 'complete';
  },
  120_000,
);
const seconds = (performance.now() - startedMs) / 1_000;
const results = await fleet.caller(fleet.entry(2), 'obloha').allResults(jobId);
if (!results.ok) throw new Error(results.error.detail);
const distinct = new Set(results.value.map((result) => result.index)).size;

printLine('\nSummary');
printLine(
  `  online: ${String(streamOutcomes.filter((outcome) => outcome.ok).length)} of ${String(streamOutcomes.length)} requests succeeded`,
);
printLine(
  `  batch: ${String(results.value.length)} results read back, ${String(distinct)} distinct, ${JSON.stringify(countByStatus(results.value))}`,
);
printLine(`  batch took ${seconds.toFixed(1)} s, ${(ITEMS / seconds).toFixed(0)} items per second`);
const passed =
  distinct === ITEMS && results.value.length === ITEMS && streamOutcomes.every((outcome) => outcome.ok);

if (cli.flags.once || !passed) {
  await fleet.stop();
  process.exit(passed ? 0 : 1);
}
printLine('\nThe fleet keeps running; press Ctrl+C to stop it.');
fleet.entries.forEach((entry) => printLine(`  ${entry.name}: ${entry.address}`));
printLine('  API key of an organisation: key-obloha   API key of the administrator: admin-key-of-the-lab');
printLine(`  curl -N -H 'Authorization: Bearer key-obloha' -H 'Content-Type: application/json' \\`);
printLine(
  `    -d '{"model":"alert-modely","prompt":"UV alert","max_tokens":12,"stream":true}' ${fleet.entry(0).address}/v1/completions`,
);
