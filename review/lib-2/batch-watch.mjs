/** Judges the rule LOST for items of batch jobs that are still open when `finishS` is over. */
import { clearInterval, setInterval } from 'node:timers';

import { nowMs, readJob, say } from './case.mjs';

const POLL_MS = 100;
/** The spans that the rule names. */
const UNTOUCHED_MS = 5_000;
const NO_FINISH_MS = 3_000;
const EXCUSED_SHARE = 0.1;

/** Watches from the replicas' side which items run. */
export class BatchWatch {
  #replicas;
  #eventCount;
  #slots;
  /** Runs that have been seen, by replica: when they began and ended. */
  #seen = new Map();
  /** Running requests at all replicas, by time. */
  #load = [];
  #timer;

  constructor(replicas, slotsEach, eventCount) {
    this.#replicas = replicas;
    this.#slots = replicas.length * slotsEach;
    this.#eventCount = eventCount;
    this.#timer = setInterval(() => this.#poll(), POLL_MS);
  }

  #poll() {
    const atMs = nowMs();
    let running = 0;
    this.#replicas.forEach(({ runs }) =>
      runs.forEach((run) => {
        const seen = this.#seen.get(run) ?? { jobId: run.requestId.replace(/-\d+$/, ''), sinceMs: atMs };
        this.#seen.set(run, seen);
        seen.untilMs ??= run.closed ? atMs : undefined;
        if (!run.closed) running += 1;
      }),
    );
    this.#load.push({ atMs, running });
  }

  /**
   * Reads the jobs at the entries, and returns how many items the rule counts as lost. `jobs` holds the number of items of each
   * accepted job. Items that a stand-in has failed are not among them.
   */
  async judge(entries, jobs) {
    this.#poll();
    clearInterval(this.#timer);
    const endMs = nowMs();
    const runs = [...this.#seen];
    const listed = new Map();
    for (const jobId of jobs.keys()) listed.set(jobId, await readJob(entries, jobId));
    const missing = [...jobs].map(([jobId, count]) => ({
      jobId,
      left: count - (listed.get(jobId)?.length ?? 0),
    }));
    const waiting = missing.reduce((sum, { left }) => sum + left, 0);
    const finished = (spanMs) =>
      runs.filter(
        ([run, { untilMs }]) =>
          untilMs >= endMs - spanMs && run.writtenEvents + run.resumeAfter >= this.#eventCount,
      ).length;
    const touched = new Set(
      runs.filter(([, { untilMs = endMs }]) => untilMs >= endMs - UNTOUCHED_MS).map(([, { jobId }]) => jobId),
    );
    const recent = this.#load.filter(({ atMs }) => atMs >= endMs - UNTOUCHED_MS);
    const isHalfEmpty = recent.every(({ running }) => running < this.#slots / 2);
    const isExcused = finished(NO_FINISH_MS) > 0 && finished(UNTOUCHED_MS) >= EXCUSED_SHARE * waiting;
    const lost = missing.filter(({ jobId, left }) => left > 0 && !touched.has(jobId));
    const lostItems = lost.reduce((sum, { left }) => sum + left, 0);
    const states = [...listed.values()].flatMap((results = []) => results.map(({ state }) => state));
    say(
      `when finishS is over: ${String(states.length)} items listed (${String(states.filter((state) => state === 'done').length)} done), ` +
        `${String(waiting)} neither done nor given up; of these ${String(lostItems)} in ${String(lost.length)} jobs no item of which a replica had in the last 5 s`,
    );
    say(
      `most running requests in the last 5 s: ${String(Math.max(0, ...recent.map(({ running }) => running)))} of ${String(this.#slots)} slots; ` +
        `items finished in the last 3 s: ${String(finished(NO_FINISH_MS))}, in the last 5 s: ${String(finished(UNTOUCHED_MS))}`,
    );
    return isHalfEmpty && !isExcused ? lostItems : 0;
  }
}
