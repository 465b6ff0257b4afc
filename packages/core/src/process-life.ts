/** Phases of a process from its start to its end, and what a signal changes in each of them. */

/** Phases of a process, in their order. */
export const ProcessPhase = {
  /** The program is being read and compiled. */
  loading: 'loading',
  /** The settings are being read. */
  settings: 'settings',
  /** The addresses are being bound and the components started. */
  binding: 'binding',
  /** The instance runs, but has never been ready for callers. */
  joining: 'joining',
  serving: 'serving',
  stopping: 'stopping',
} as const;
export type ProcessPhase = (typeof ProcessPhase)[keyof typeof ProcessPhase];

/** Why a process ended. */
export const EndReason = {
  /** SIGTERM or SIGINT; also a start that was abandoned because of it. */
  signal: 'signal',
  /** Wrong options on the command line. */
  usage: 'usage',
  /** The settings are wrong, or could not be read within the time limit. */
  settings: 'settings',
  /** The program could not be loaded. */
  loadFailed: 'load_failed',
  /** The instance could not be started. */
  startFailed: 'start_failed',
  /** The instance could not be stopped in order. */
  stopFailed: 'stop_failed',
  invariantViolated: 'invariant_violated',
  /** An error that no component handled. */
  unexpectedError: 'unexpected_error',
  /** The process exited without stating a reason, or was killed. */
  unknown: 'unknown',
} as const;
export type EndReason = (typeof EndReason)[keyof typeof EndReason];

/** Exit statuses of the programs. */
export const ExitStatus = {
  stopped: 0,
  /** Wrong usage or settings. */
  usage: 2,
  /** An unexpected error; the same as EX_SOFTWARE of sysexits. */
  crash: 70,
} as const;

/** How a process ended, as it is logged and stored. */
export interface ProcessEnd {
  readonly reason: EndReason;
  /** The phase that the end interrupted, or `stopping`. */
  readonly phase: ProcessPhase;
  readonly exitStatus: number;
  /** What is known beyond the reason: the signal, the error or the faults of the settings. */
  readonly detail: string;
  /** Time since the start of the process. */
  readonly ranMs: number;
  /** Time that the process spent in each phase. */
  readonly phaseMs: Readonly<Partial<Record<ProcessPhase, number>>>;
}

/** A change of phase, with the time that the phase before took. */
export interface PhaseChange {
  readonly phase: ProcessPhase;
  readonly previousPhase: ProcessPhase;
  readonly previousPhaseMs: number;
}

/** Tracks the phase of this process. Times are milliseconds since the start of the process. */
export class ProcessLife {
  private current: ProcessPhase = ProcessPhase.loading;
  private enteredAtMs = 0;
  private readonly phaseMs: Partial<Record<ProcessPhase, number>> = {};

  get phase(): ProcessPhase {
    return this.current;
  }

  /** Changes the phase. Returns undefined if the process is in `phase` already. */
  enter(phase: ProcessPhase, nowMs: number): PhaseChange | undefined {
    if (phase === this.current) return undefined;
    const change = {
      phase,
      previousPhase: this.current,
      previousPhaseMs: Math.round(nowMs - this.enteredAtMs),
    };
    this.phaseMs[this.current] = change.previousPhaseMs;
    this.current = phase;
    this.enteredAtMs = nowMs;
    return change;
  }

  /** Describes the end of the process in its current phase. */
  end(reason: EndReason, exitStatus: number, detail: string, nowMs: number): ProcessEnd {
    const phaseMs = { ...this.phaseMs, [this.current]: Math.round(nowMs - this.enteredAtMs) };
    return { reason, phase: this.current, exitStatus, detail, ranMs: Math.round(nowMs), phaseMs };
  }
}

/** What a process does on a signal. */
export const SignalAction = {
  none: 'none',
  readSettingsAgain: 'read_settings_again',
  /** Gives up the start and closes what had been started. */
  abandonStart: 'abandon_start',
  /** Completes accepted work and stops. */
  stop: 'stop',
  /** Stops without waiting for accepted work any longer. */
  endDrain: 'end_drain',
} as const;
export type SignalAction = (typeof SignalAction)[keyof typeof SignalAction];

const STARTING_PHASES: ReadonlySet<ProcessPhase> = new Set([
  ProcessPhase.loading,
  ProcessPhase.settings,
  ProcessPhase.binding,
]);

/**
 * Decides what a signal changes. `interrupts` is the number of SIGINT that arrived before; only a repeated one, as from a terminal, ends
 * the drain early. Settings that have not been read yet need not be read again.
 */
export function actionOnSignal(signal: string, phase: ProcessPhase, interrupts: number): SignalAction {
  const isStarting = STARTING_PHASES.has(phase);
  const isStopping = phase === ProcessPhase.stopping;
  if (signal === 'SIGHUP')
    return isStopping || phase === ProcessPhase.loading || phase === ProcessPhase.settings
      ? SignalAction.none
      : SignalAction.readSettingsAgain;
  if (signal !== 'SIGTERM' && signal !== 'SIGINT') return SignalAction.none;
  if (isStopping) return signal === 'SIGINT' && interrupts > 0 ? SignalAction.endDrain : SignalAction.none;
  return isStarting ? SignalAction.abandonStart : SignalAction.stop;
}
