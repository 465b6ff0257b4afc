/** Settings of an entry instance. */
import { z } from 'zod';

const port = z.number().int().min(0).max(65_535);
const durationMs = z.number().int().positive();

/** Parts of the daemon that settings can switch off. */
export const EntryRole = {
  gateway: 'gateway',
  scheduler: 'scheduler',
  batch: 'batch',
} as const;
export type EntryRole = (typeof EntryRole)[keyof typeof EntryRole];

/** How online requests are admitted to replicas. */
export const AdmissionStrategy = { owner: 'owner', laggingLoad: 'lagging-load' } as const;
export type AdmissionStrategy = (typeof AdmissionStrategy)[keyof typeof AdmissionStrategy];

/** The schema of the settings file. Unknown keys are refused. */
export const entrySettingsSchema = z.strictObject({
  /** Name of this instance, unique in the fleet. */
  instanceName: z.string().regex(/^[\w.-]+$/),
  failureDomain: z.string().min(1),
  roles: z.array(z.enum(EntryRole)).default(['gateway', 'scheduler', 'batch']),
  /** Address that this instance listens on and makes its connections from. */
  host: z.string().default('127.0.0.1'),
  /** Peer address that is announced, where others reach this instance by another one. */
  announcedPeerAddress: z.string().optional(),
  httpPort: port.default(0),
  peerPort: port.default(0),
  /** Shared secret of the fleet. */
  fleetSecret: z.string().min(16),
  /** Key of the first administrator; its hash is not stored in the table. */
  bootstrapAdminKey: z.string().min(16).optional(),
  keyValueService: z.strictObject({
    address: z.url(),
    callTimeoutMs: durationMs.default(1_000),
    deadlineMs: durationMs.default(4_000),
    readsPerSecond: z.number().positive().default(100),
    writesPerSecond: z.number().positive().default(30),
  }),
  instanceList: z.strictObject({
    address: z.url(),
    readPeriodMs: durationMs.default(1_000),
    timeoutMs: durationMs.default(1_000),
  }),
  peers: z
    .strictObject({
      probePeriodMs: durationMs.default(1_000),
      probeTimeoutMs: durationMs.default(400),
      suspicionMs: durationMs.default(3_000),
      indirectProbes: z.number().int().nonnegative().default(2),
      acquireTimeoutMs: durationMs.default(60),
    })
    .prefault({}),
  online: z
    .strictObject({
      admission: z.enum(AdmissionStrategy).default(AdmissionStrategy.owner),
      headersLimitMs: durationMs.default(1_500),
      gapLimitMs: durationMs.default(1_500),
      retryFraction: z.number().min(0).max(1).default(0.2),
      maxBodyBytes: z.number().int().positive().default(1_000_000),
    })
    .prefault({}),
  batch: z
    .strictObject({
      leaseMs: durationMs.default(12_000),
      commitPeriodMs: durationMs.default(2_000),
      chunkItems: z.number().int().positive().max(2_000).default(250),
      chunkBytes: z.number().int().positive().max(700_000).default(400_000),
      maxItems: z.number().int().positive().default(220_000),
      maxItemBytes: z.number().int().positive().default(200_000),
      maxHeldChunks: z.number().int().positive().default(4),
    })
    .prefault({}),
  /** Loads from the weight store that the whole fleet may begin in a minute. */
  weightStoreLoadsPerMinute: z.number().positive().default(6),
  statsd: z.strictObject({ host: z.string(), port, prefix: z.string().default('fighub.') }).optional(),
  logLevel: z.enum(['debug', 'info', 'warn', 'error', 'silent']).default('info'),
  /** How long a graceful shutdown waits for streams. */
  drainLimitMs: durationMs.default(60_000),
});

export type EntrySettings = z.output<typeof entrySettingsSchema>;
