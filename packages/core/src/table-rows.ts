/** Rows of the table that operators edit: their kinds, schemas and keys. */
import { z } from 'zod';

/** Kinds of rows. */
export const RowKind = {
  organisation: 'organisation',
  model: 'model',
  upstream: 'upstream',
  share: 'share',
  service: 'service',
} as const;
export type RowKind = (typeof RowKind)[keyof typeof RowKind];

/** Role of the holder of an API key, which determines the permitted operations. */
export const Role = { administrator: 'administrator', operator: 'operator', caller: 'caller' } as const;
export type Role = (typeof Role)[keyof typeof Role];

const positive = z.number().positive();
const count = z.number().int().nonnegative();

/** An organisation: the SHA-256 hashes of its API keys, its role and whether it is retired. */
export const organisationSchema = z.strictObject({
  keyHashes: z.array(z.string().regex(/^[0-9a-f]{64}$/)).max(8),
  role: z.enum(Role).default(Role.caller),
  retired: z.boolean().default(false),
});

/** A model: its latency targets and the default settings of its requests. */
export const modelSchema = z.strictObject({
  firstTokenTargetMs: positive.default(570),
  betweenTokensTargetMs: positive.default(33),
  deadlineMs: positive.default(30_000),
  idempotent: z.boolean().default(true),
  maxTokens: count.default(4_096),
});

/** An upstream: one replica of a model, or one address of a plain service. `serves` names the model or service. */
export const upstreamSchema = z.strictObject({
  serves: z.string().min(1),
  address: z.url(),
  failureDomain: z.string().min(1),
  fencingChecked: z.boolean().default(false),
  /** Version of the replica's software. Streams continue only at the version that began them; absent if all fit. */
  softwareVersion: z.string().min(1).optional(),
  maxConcurrency: z.number().int().positive().default(8),
});

/** Share and limits of one organisation for one model. `*` in the row's key stands for any organisation or model. */
export const shareSchema = z.strictObject({
  weight: positive.default(1),
  maxInFlight: count.optional(),
  requestsPerSecond: positive.optional(),
  tokensPerSecond: positive.optional(),
  deadlineMs: positive.optional(),
  resultRetentionMs: positive.default(7 * 24 * 3_600_000),
});

/** A plain service to which requests are routed. */
export const serviceSchema = z.strictObject({
  idempotent: z.boolean().default(false),
  deadlineMs: positive.default(10_000),
});

export type OrganisationRow = z.output<typeof organisationSchema>;
export type ModelRow = z.output<typeof modelSchema>;
export type UpstreamRow = z.output<typeof upstreamSchema>;
export type ShareRow = z.output<typeof shareSchema>;
export type ServiceRow = z.output<typeof serviceSchema>;

/** The schema of each kind of row. */
export const rowSchemas = {
  organisation: organisationSchema,
  model: modelSchema,
  upstream: upstreamSchema,
  share: shareSchema,
  service: serviceSchema,
} as const satisfies Record<RowKind, z.ZodType>;

/** A row as stored. A deleted row is kept with the revision of its deletion and without a value. */
export interface StoredRow {
  readonly key: string;
  readonly revision: number;
  readonly value: unknown;
  readonly deleted: boolean;
  readonly changedAtUnixMs: number;
  readonly changedBy: string;
}

/** A group of rows that are stored together under one key of the key-value service. */
export interface TableBucket {
  readonly bucket: number;
  /** Increases by one with each change of any row in the bucket. */
  readonly revision: number;
  readonly rows: readonly StoredRow[];
}

const KEY_PATTERN = /^(organisation|model|upstream|service)\/[\w.*-]+$|^share\/[\w.*-]+\/[\w.*-]+$/;

/** Whether `key` has the form `<kind>/<name>` or `share/<organisation>/<model>`. */
export function isRowKey(key: string): boolean {
  return KEY_PATTERN.test(key);
}

/** Returns the kind of row that a valid key belongs to. */
export function rowKindOf(key: string): RowKind {
  return key.split('/')[0] as RowKind;
}
