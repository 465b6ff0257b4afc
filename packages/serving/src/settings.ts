/** Settings of a serving instance. */
import { z } from 'zod';

const durationMs = z.number().int().positive();
const hostAndPort = z.string().regex(/^[\w.-]+:\d{1,5}$/, 'expected host:port');

/** The schema of the settings. Unknown keys are refused. */
export const servingSettingsSchema = z.strictObject({
  /** Name of this instance, unique in the fleet. */
  instanceName: z.string().regex(/^[\w.-]+$/),
  failureDomain: z.string().min(1),
  /** Address that this instance makes its connections from. */
  host: z.string().min(1),
  /** Where other instances reach this one. */
  peerAddress: hostAndPort,
  /** Where callers reach this instance; left out on instances without callers. */
  callerAddress: hostAndPort.optional(),
  /** Readiness, metrics and state dump; left out where nobody asks for them. */
  statusAddress: hostAndPort.optional(),
  /** Peer addresses of some instances, which may be gone. */
  seedAddresses: z.array(hostAndPort).default([]),
  /** Shared secret of the fleet. */
  fleetSecret: z.string().min(16),
  /** Whether this instance reads the store for others, owns pools and runs batch jobs. */
  coordinates: z.boolean(),
  store: z.strictObject({
    address: hostAndPort,
    /** Calls of the whole fleet; an instance takes at most `fleetShare` of them. */
    readsPerSecond: z.number().positive(),
    writesPerSecond: z.number().positive(),
    fleetShare: z.number().positive().max(1).default(0.25),
    callTimeoutMs: durationMs.default(1_000),
    deadlineMs: durationMs.default(2_500),
    maxValueBytes: z.number().int().positive().default(1_048_576),
    minLeaseMs: durationMs.default(1_000),
  }),
  peers: z
    .strictObject({
      probePeriodMs: durationMs.default(700),
      probeTimeoutMs: durationMs.default(300),
      suspicionMs: durationMs.default(1_500),
      indirectProbes: z.number().int().nonnegative().default(2),
      acquireTimeoutMs: durationMs.default(60),
    })
    .prefault({}),
  shutdown: z
    .strictObject({
      /** Time between the request to stop and the end by force. */
      graceMs: durationMs.default(8_000),
      /** Time in which the balancer sees that this instance is not ready. */
      noticeMs: durationMs.default(2_600),
    })
    .prefault({}),
  logLevel: z.enum(['debug', 'info', 'warn', 'error', 'silent']).default('info'),
});

export type ServingSettings = z.output<typeof servingSettingsSchema>;
