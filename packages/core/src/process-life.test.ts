import { describe, expect, it } from 'vitest';

import { EndReason, ProcessLife, ProcessPhase, SignalAction, actionOnSignal } from './process-life.js';

const { loading, settings, binding, joining, serving, stopping } = ProcessPhase;

describe('the phases of a process', () => {
  it('state how long each took, also at the end', () => {
    const life = new ProcessLife();
    expect(life.enter(settings, 120)).toEqual({
      phase: settings,
      previousPhase: loading,
      previousPhaseMs: 120,
    });
    expect(life.enter(settings, 130)).toBeUndefined();
    expect(life.enter(binding, 150)?.previousPhaseMs).toBe(30);
    expect(life.end(EndReason.startFailed, 70, 'in use', 400)).toEqual({
      reason: EndReason.startFailed,
      phase: binding,
      exitStatus: 70,
      detail: 'in use',
      ranMs: 400,
      phaseMs: { loading: 120, settings: 30, binding: 250 },
    });
  });
});

describe('a signal', () => {
  it.each([
    ['SIGHUP', [loading, settings, stopping], 0, SignalAction.none],
    ['SIGHUP', [binding, joining, serving], 0, SignalAction.readSettingsAgain],
    ['SIGTERM', [loading, settings, binding], 0, SignalAction.abandonStart],
    ['SIGTERM', [joining, serving], 0, SignalAction.stop],
    ['SIGTERM', [stopping], 0, SignalAction.none],
    ['SIGTERM', [stopping], 1, SignalAction.none],
    ['SIGINT', [loading, settings, binding], 0, SignalAction.abandonStart],
    ['SIGINT', [stopping], 0, SignalAction.none],
    ['SIGINT', [stopping], 1, SignalAction.endDrain],
    ['SIGUSR1', Object.values(ProcessPhase), 0, SignalAction.none],
    ['SIGUSR2', Object.values(ProcessPhase), 0, SignalAction.none],
  ] as const)('%s in the phases %j after %d interrupts leads to %s', (signal, phases, interrupts, action) => {
    const actions = phases.map((phase) => actionOnSignal(signal, phase, interrupts));
    expect(new Set(actions)).toEqual(new Set([action]));
  });
});
