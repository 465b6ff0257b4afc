/** Settings of a serving instance. */
import { z } from 'zod';

const MS_PER_S = 1_000;
const durationMs = z.number().int().positive();
const MAX_PORT = 65_535;
const hostAndPort = z
  .string()
  .regex(/^[\w.-]+:\d{1,5}$/, 'expected host:port')
  .refine((address) => Number(address.split(':')[1]) <= MAX_PORT, `the port is above ${String(MAX_PORT)}`);

/** Schema of the settings of a serving instance. Unknown keys are rejected. */
export const servingSettingsSchema = z.strictObject({
  /**
   * Name of this instance, unique in the fleet. A random suffix makes the instance id unique to each start.
   */
  instanceName: z.string().regex(/^[\w.-]+$/),
  /** Failure domain in which this instance runs. */
  failureDomain: z.string().min(1),
  /** Local address from which this instance opens its connections. */
  host: z.string().min(1),
  /** Address on which this instance accepts connections of other instances. */
  peerAddress: hostAndPort,
  /** Address on which this instance accepts requests of callers; omitted on instances that serve none. */
  callerAddress: hostAndPort.optional(),
  /** Address of the readiness, metrics and state dump endpoints; omitted to disable them. */
  statusAddress: hostAndPort.optional(),
  /** Another address of the metrics, the configuration in force and the state dump; omitted to disable it. */
  metricsAddress: hostAndPort.optional(),
  /** Memory that the process may use, in megabytes. What it holds for callers and replicas that read slowly is bounded by it. */
  memoryMb: z.number().positive().default(400),
  /** Open files and sockets that the process may have. Connections of callers are bounded by it and by the memory. */
  maxFds: z.number().positive().default(4_096),
  /**
   * Folder for files that are of use after a loss of power, such as where streams began; omitted where there is no disk. Nothing
   * that was acknowledged depends on it.
   */
  dataDirectory: z.string().min(1).optional(),
  /** Peer addresses of some other instances, for discovery. Unreachable ones are tolerated. */
  seedAddresses: z.array(hostAndPort).default([]),
  /** Secret shared by the fleet, with which instances authenticate to each other. */
  fleetSecret: z.string().min(16),
  /**
   * Whether this instance is a coordinator: it reads the store for others, owns pools and runs batch jobs.
   */
  coordinates: z.boolean(),
  store: z.strictObject({
    address: hostAndPort,
    /** Read budget of the whole fleet; an instance uses at most `fleetShare` of it. */
    readsPerSecond: z.number().positive(),
    /** Write budget of the whole fleet; an instance uses at most `fleetShare` of it. */
    writesPerSecond: z.number().positive(),
    /** Fraction of the read and write budgets that one instance may use. */
    fleetShare: z.number().positive().max(1).default(0.25),
    /** Timeout of a single call to the store. */
    callTimeoutMs: durationMs.default(1_000),
    /** How long an operation may take with its retries. */
    deadlineMs: durationMs.default(2_500),
    /** Largest value that the store accepts. */
    maxValueBytes: z.number().int().positive().default(1_048_576),
    /** Shortest lease that the store grants. */
    minLeaseMs: durationMs.default(1_000),
  }),
  /** Omitted if withdrawn keys and quotas need no time limits. */
  organisations: z
    .strictObject({
      /** Time after which a withdrawn key is refused at the latest, also by an instance that is cut off. */
      keyWithdrawalLimitMs: durationMs.optional(),
      /** Length of the sliding window over which the requests of a quota are counted. */
      quotaWindowS: z.number().positive().default(1),
      /** Requests that may exceed the quota in a window over all instances, as a fraction of it and as a number. */
      quotaOverageFraction: z.number().nonnegative().default(0),
      quotaSlackRequests: z.number().nonnegative().default(0),
    })
    .prefault({}),
  hedging: z
    .strictObject({
      /**
       * Copies of requests that are slow to respond, as a fraction of a service's online requests over all instances; 0 sends
       * none. Only requests that may be repeated are copied.
       */
      maxExtraFraction: z.number().min(0).max(0.5).default(0),
    })
    .prefault({}),
  peers: z
    .strictObject({
      /** Mean time between probes of other members. */
      probePeriodMs: durationMs.default(700),
      probeTimeoutMs: durationMs.default(300),
      /** How long a suspected member has to refute the suspicion before it is declared dead. */
      suspicionMs: durationMs.default(1_500),
      /** Number of members that are asked to probe a member that did not respond. */
      indirectProbes: z.number().int().nonnegative().default(2),
      /** How long the owner of a pool may take to acknowledge a request for a slot. */
      acquireTimeoutMs: durationMs.default(60),
    })
    .prefault({}),
  shutdown: z
    .strictObject({
      /** Time between the request to stop and the moment when the hosting platform kills the process. */
      graceMs: durationMs.default(8_000),
      /** The same in seconds, as hosting platforms state it; takes precedence. */
      graceS: z.number().positive().optional(),
      /** Time in which the load balancer notices that this instance is not ready. */
      noticeMs: durationMs.default(2_600),
    })
    .transform(({ graceMs, graceS, noticeMs }) => ({
      graceMs: graceS === undefined ? graceMs : graceS * MS_PER_S,
      noticeMs,
    }))
    .prefault({}),
  logLevel: z.enum(['debug', 'info', 'warn', 'error', 'silent']).default('info'),
});

/** Settings of a serving instance after validation, with defaults applied. */
export type ServingSettings = z.output<typeof servingSettingsSchema>;
