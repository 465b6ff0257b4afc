/** Faults that experiments induce on a fleet. */
import { sleep as pause } from '@fighub/core';

import type { Fleet, FleetEntry, FleetReplica } from './fleet.js';

/** Kills a replica and starts it again after a while, as the platform's supervisor would. */
export async function killReplica(fleet: Fleet, replica: FleetReplica, downMs: number): Promise<void> {
  await replica.process.kill();
  await pause(downMs);
  await fleet.restartReplica(replica);
}

/** Kills an entry and starts another in its place after a while. */
export async function killEntry(fleet: Fleet, entry: FleetEntry, downMs: number): Promise<void> {
  await entry.process.kill();
  await pause(downMs);
  await fleet.restartEntry(entry);
}

/** Stops a process for a while without ending it. */
export async function pauseProcess(entry: FleetEntry | FleetReplica, pauseMs: number): Promise<void> {
  entry.process.signal('SIGSTOP');
  await pause(pauseMs);
  entry.process.signal('SIGCONT');
}

/** Restarts replicas whose process has ended, until stopped. */
export class ReplicaSupervisor {
  private running = true;
  readonly restarts: number[] = [];
  private readonly loop: Promise<void>;

  constructor(
    private readonly fleet: Fleet,
    private readonly downMs: number,
  ) {
    this.loop = this.superviseLoop();
  }

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
        this.restarts.push(ended.length);
      }
      await pause(50);
    }
  }
}

export { sleep as pause } from '@fighub/core';
