/** Faults that experiments inject into the processes of a fleet. */
import { sleep as pause } from '@fighub/core';

import type { Fleet, FleetEntry, FleetReplica } from './fleet.js';

/** Kills a replica and restarts it after `downMs`, as the hosting platform's supervisor would. */
export async function killReplica(fleet: Fleet, replica: FleetReplica, downMs: number): Promise<void> {
  await replica.process.kill();
  await pause(downMs);
  await fleet.restartReplica(replica);
}

/** Kills an entry and starts a new process in its place after `downMs`. */
export async function killEntry(fleet: Fleet, entry: FleetEntry, downMs: number): Promise<void> {
  await entry.process.kill();
  await pause(downMs);
  await fleet.restartEntry(entry);
}

/** Suspends a process with SIGSTOP and resumes it after `pauseMs`. */
export async function pauseProcess(entry: FleetEntry | FleetReplica, pauseMs: number): Promise<void> {
  entry.process.signal('SIGSTOP');
  await pause(pauseMs);
  entry.process.signal('SIGCONT');
}

/** Restarts replicas whose process has exited, `downMs` after noticing the exit, until `stop` is called. */
export class ReplicaSupervisor {
  private running = true;
  /** Number of replicas that each round of restarts covered. */
  readonly restartsPerRound: number[] = [];
  private readonly loop: Promise<void>;

  constructor(
    private readonly fleet: Fleet,
    private readonly downMs: number,
  ) {
    this.loop = this.superviseLoop();
  }

  /** Stops the supervision and waits for a restart in progress. */
  async stop(): Promise<void> {
    this.running = false;
    await this.loop;
  }

  private async superviseLoop(): Promise<void> {
    while (this.running) {
      const ended = this.fleet.replicas.filter((replica) => !replica.process.running);
      if (ended.length > 0) {
        await pause(this.downMs);
        await Promise.all(ended.map((replica) => this.fleet.restartReplica(replica)));
        this.restartsPerRound.push(ended.length);
      }
      await pause(50);
    }
  }
}

export { sleep as pause } from '@fighub/core';
