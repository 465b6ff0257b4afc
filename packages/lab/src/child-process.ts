/** Child processes that a fleet consists of. */
import type { ChildProcess } from 'node:child_process';
import { spawn } from 'node:child_process';
import { createInterface } from 'node:readline';

const READY_TIMEOUT_MS = 20_000;

/** A child process that prints one line of JSON on standard output when it is ready. */
export class FleetProcess {
  private exited = false;
  /** Lines of standard error. */
  readonly stderrLines: string[] = [];
  /** Lines of standard output after the ready line. */
  readonly stdoutLines: string[] = [];

  private constructor(
    readonly name: string,
    private readonly child: ChildProcess,
    /** Parsed ready line, which holds the addresses that the process listens on. */
    readonly ready: Readonly<Record<string, string>>,
  ) {
    child.once('exit', () => (this.exited = true));
  }

  /**
   * Starts a Node.js program and waits until it is ready. Rejects with the lines of standard error when the process
   * exits before that or is not ready within the time-out. `nodeArgs` are passed to Node.js itself.
   */
  static start(
    name: string,
    program: string,
    args: readonly string[],
    nodeArgs: readonly string[] = [],
  ): Promise<FleetProcess> {
    // DEP0111 is a deprecation warning about process.binding(), which a dependency calls.
    const child = spawn(process.execPath, ['--disable-warning=DEP0111', ...nodeArgs, program, ...args], {
      stdio: ['ignore', 'pipe', 'pipe'],
    });
    return new Promise((resolve, reject) => {
      const errors: string[] = [];
      createInterface({ input: child.stderr }).on('line', (line) => errors.push(line));
      const timer = setTimeout(
        () => reject(new Error(`${name} did not become ready in time: ${errors.join('\n')}`)),
        READY_TIMEOUT_MS,
      );
      child.once('exit', (code) => {
        clearTimeout(timer);
        reject(
          new Error(`${name} exited with code ${String(code)} before it was ready: ${errors.join('\n')}`),
        );
      });
      const output = createInterface({ input: child.stdout });
      output.once('line', (line) => {
        clearTimeout(timer);
        const started = new FleetProcess(name, child, JSON.parse(line) as Record<string, string>);
        createInterface({ input: child.stderr }).on('line', (text) => started.stderrLines.push(text));
        started.stderrLines.push(...errors);
        output.on('line', (text) => started.stdoutLines.push(text));
        resolve(started);
      });
    });
  }

  get running(): boolean {
    return !this.exited;
  }

  /** Process id; 0 when the process could not be started. */
  get pid(): number {
    return this.child.pid ?? 0;
  }

  /** Exit code; null while the process runs and after a signal ended it. */
  get exitCode(): number | null {
    return this.child.exitCode;
  }

  /** Sends a signal, unless the process has exited. */
  signal(signal: NodeJS.Signals): void {
    if (!this.exited) this.child.kill(signal);
  }

  /** Waits until the process has exited. */
  async ended(): Promise<void> {
    while (!this.exited) await new Promise((resolve) => setTimeout(resolve, 10));
  }

  /** Ends the process with SIGKILL and waits for its exit. SIGCONT comes first, as the process may be stopped. */
  async kill(): Promise<void> {
    this.signal('SIGCONT');
    this.signal('SIGKILL');
    await this.ended();
  }
}
