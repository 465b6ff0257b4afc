/** Settings of an entry instance. */
import { z } from 'zod';

const port = z.number().int().min(0).max(65_535);
const durationMs = z.number().int().positive();

/** Components of an entry instance that the settings can enable. */
export const EntryRole = {
  /** Accepts the requests of callers and operators. It runs on every instance, even if `roles` leaves it out. */
  gateway: 'gateway',
  /** Owns pools and grants permits for their slots. */
  scheduler: 'scheduler',
  /** Runs items of batch jobs. */
  batch: 'batch',
} as const;
export type EntryRole = (typeof EntryRole)[keyof typeof EntryRole];

/** How online requests are admitted to replicas. */
export const AdmissionStrategy = {
  /** The owner of a pool grants each request a slot. */
  owner: 'owner',
  /** Baseline for experiments: each instance chooses replicas by the load that they last reported. */
  laggingLoad: 'lagging-load',
} as const;
export type AdmissionStrategy = (typeof AdmissionStrategy)[keyof typeof AdmissionStrategy];

/** Schema of the settings of an entry instance. Unknown keys are rejected. */
export const entrySettingsSchema = z.strictObject({
  /** Name of this instance, unique in the fleet. A random suffix makes the instance id unique to each start. */
  instanceName: z.string().regex(/^[\w.-]+$/),
  /** Failure domain in which this instance runs. */
  failureDomain: z.string().min(1),
  /** Components that this instance runs. */
  roles: z.array(z.enum(EntryRole)).default(['gateway', 'scheduler', 'batch']),
  /** Local address on which this instance listens and from which it opens its connections. */
  host: z.string().default('127.0.0.1'),
  /**
   * Peer address to announce, as host:port, if other instances reach this one by another address than `host` and
   * `peerPort`.
   */
  announcedPeerAddress: z.string().optional(),
  /** Port for callers and operators; 0 lets the system choose. */
  httpPort: port.default(0),
  /** Port for connections of other instances; 0 lets the system choose. */
  peerPort: port.default(0),
  /** Memory that the process may take, in megabytes. Request bodies and connections of callers are bounded by it. */
  memoryMb: z.number().positive().default(1_024),
  /** Open files and sockets that the process may have. Connections of callers are bounded by it. */
  maxFds: z.number().int().positive().default(4_096),
  /** Secret shared by the fleet, with which instances authenticate to each other. */
  fleetSecret: z.string().min(16),
  /** Key that grants the administrator role without an entry in the table, for creating the first organisations. */
  bootstrapAdminKey: z.string().min(16).optional(),
  keyValueService: z.strictObject({
    address: z.url(),
    /** Timeout of a single call to the service. */
    callTimeoutMs: durationMs.default(1_000),
    /** How long a write may take with its retries, and how long an operation may wait for the rate limit. */
    deadlineMs: durationMs.default(4_000),
    /** Largest rate of reads by this instance. */
    readsPerSecond: z.number().positive().default(100),
    /** Largest rate of writes by this instance. */
    writesPerSecond: z.number().positive().default(30),
  }),
  instanceList: z.strictObject({
    address: z.url(),
    readPeriodMs: durationMs.default(1_000),
    timeoutMs: durationMs.default(1_000),
  }),
  peers: z
    .strictObject({
      /** Mean time between probes of other members. */
      probePeriodMs: durationMs.default(1_000),
      probeTimeoutMs: durationMs.default(400),
      /** How long a suspected member has to refute the suspicion before it is declared dead. */
      suspicionMs: durationMs.default(3_000),
      /** Number of members that are asked to probe a member that did not respond. */
      indirectProbes: z.number().int().nonnegative().default(2),
      /** How long the owner of a pool may take to acknowledge a slot request. */
      acquireTimeoutMs: durationMs.default(60),
    })
    .prefault({}),
  online: z
    .strictObject({
      admission: z.enum(AdmissionStrategy).default(AdmissionStrategy.owner),
      /** How long an upstream may take to send the response headers. */
      headersLimitMs: durationMs.default(1_500),
      /** How long an upstream may stay silent within a response. */
      gapLimitMs: durationMs.default(1_500),
      /** Retries may add at most this fraction to the requests; one retry per second is allowed in any case. */
      retryFraction: z.number().min(0).max(1).default(0.2),
      /** Largest request body that is accepted. */
      maxBodyBytes: z.number().int().positive().default(1_000_000),
    })
    .prefault({}),
  batch: z
    .strictObject({
      /** Another instance may claim a chunk whose ledger has not changed for this long. */
      leaseMs: durationMs.default(12_000),
      /** Time between commits of the results of a chunk. */
      commitPeriodMs: durationMs.default(2_000),
      /** A chunk of a submitted job is written when it has this number of items. */
      chunkItems: z.number().int().positive().max(2_000).default(250),
      /** A chunk of a submitted job is written when the JSON of its items reaches this size. */
      chunkBytes: z.number().int().positive().max(700_000).default(400_000),
      /** Largest number of items in a job. */
      maxItems: z.number().int().positive().default(220_000),
      /** Largest size of an item, as a line of the submitted job. */
      maxItemBytes: z.number().int().positive().default(200_000),
      /** Number of chunks that this instance may hold at the same time. */
      maxHeldChunks: z.number().int().positive().default(4),
    })
    .prefault({}),
  /** Number of loads from the weight store that the whole fleet may start in a minute. */
  weightStoreLoadsPerMinute: z.number().positive().default(6),
  /** StatsD server for counters and samples; omitted to disable it. */
  statsd: z.strictObject({ host: z.string(), port, prefix: z.string().default('fighub.') }).optional(),
  logLevel: z.enum(['debug', 'info', 'warn', 'error', 'silent']).default('info'),
  /** How long a shutdown waits for open requests, and then for idempotency records that are not settled. */
  drainLimitMs: durationMs.default(60_000),
});

/** Settings of an entry instance after validation, with defaults applied. */
export type EntrySettings = z.output<typeof entrySettingsSchema>;
