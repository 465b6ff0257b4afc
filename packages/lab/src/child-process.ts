/** Real processes of an experiment's fleet. */
import type { ChildProcess } from 'node:child_process';
import { spawn } from 'node:child_process';
import { createInterface } from 'node:readline';

const READY_TIMEOUT_MS = 20_000;

/** A process that prints one line of JSON when it is ready. */
export class FleetProcess {
  private exited = false;
  readonly errors: string[] = [];
  /** Lines of standard output after the first. */
  readonly lines: string[] = [];

  private constructor(
    readonly name: string,
    private readonly child: ChildProcess,
    /** The line that the process printed when it was ready. */
    readonly ready: Readonly<Record<string, string>>,
  ) {
    child.once('exit', () => (this.exited = true));
  }

  /** Starts a Node.js program and waits until it is ready. */
  static start(name: string, program: string, args: readonly string[]): Promise<FleetProcess> {
    const child = spawn(process.execPath, ['--disable-warning=DEP0111', program, ...args], {
      stdio: ['ignore', 'pipe', 'pipe'],
    });
    return new Promise((resolve, reject) => {
      const errors: string[] = [];
      createInterface({ input: child.stderr }).on('line', (line) => errors.push(line));
      const timer = setTimeout(
        () => reject(new Error(`${name} is not ready: ${errors.join('\n')}`)),
        READY_TIMEOUT_MS,
      );
      child.once('exit', (code) => {
        clearTimeout(timer);
        reject(new Error(`${name} ended with ${String(code)}: ${errors.join('\n')}`));
      });
      const output = createInterface({ input: child.stdout });
      output.once('line', (line) => {
        clearTimeout(timer);
        const started = new FleetProcess(name, child, JSON.parse(line) as Record<string, string>);
        createInterface({ input: child.stderr }).on('line', (text) => started.errors.push(text));
        started.errors.push(...errors);
        output.on('line', (text) => started.lines.push(text));
        resolve(started);
      });
    });
  }

  get running(): boolean {
    return !this.exited;
  }

  get pid(): number {
    return this.child.pid ?? 0;
  }

  /** Exit code of an ended process. */
  get exitCode(): number | null {
    return this.child.exitCode;
  }

  signal(signal: NodeJS.Signals): void {
    if (!this.exited) this.child.kill(signal);
  }

  /** Waits until the process has ended. */
  async ended(): Promise<void> {
    while (!this.exited) await new Promise((resolve) => setTimeout(resolve, 10));
  }

  /** Ends the process at once. */
  async kill(): Promise<void> {
    this.signal('SIGCONT');
    this.signal('SIGKILL');
    await this.ended();
  }
}
