/**
 * Messages of the etcd v3 JSON gateway, limited to the fields that are used. Keys and values are encoded in base64;
 * revisions and counts are decimal text.
 */

/** A stored key and its value. */
export interface EtcdKeyValue {
  key: string;
  value?: string;
  /** Revision of the store at which the key was last changed. */
  mod_revision: string;
}

/** Request to read one key, or the keys from `key` to `range_end` (exclusive). */
export interface EtcdRangeRequest {
  key: string;
  range_end?: string;
  limit?: number;
}

/** Response to a range request; `kvs` is absent when no key is in the range. */
export interface EtcdRangeResponse {
  kvs?: EtcdKeyValue[];
  count?: string;
}

/** Condition of a transaction: the key was last changed at `mod_revision`, which is 0 for an absent key. */
export interface EtcdCompare {
  key: string;
  target: 'MOD';
  result: 'EQUAL';
  mod_revision: string;
}

/** One operation of a transaction; exactly one field is set. */
export interface EtcdRequestOp {
  request_put?: { key: string; value: string };
  request_delete_range?: { key: string };
  request_range?: EtcdRangeRequest;
}

/** Transaction: runs `success` when all conditions hold, otherwise `failure`. */
export interface EtcdTxnRequest {
  compare: EtcdCompare[];
  success: EtcdRequestOp[];
  failure: EtcdRequestOp[];
}

/** Response to a transaction; `succeeded` is true when all conditions held. */
export interface EtcdTxnResponse {
  header: { revision: string };
  succeeded?: boolean;
  responses?: { response_range?: EtcdRangeResponse }[];
}

/** One line of the response stream of a watch. An event without a type is a put. */
export interface EtcdWatchMessage {
  result: { created?: boolean; events?: { type?: 'PUT' | 'DELETE'; kv: EtcdKeyValue }[] };
}

/** Encodes a key or value as base64. */
export function toBase64(text: string): string {
  return Buffer.from(text, 'utf8').toString('base64');
}

/** Decodes a key or value from base64. */
export function fromBase64(text: string): string {
  return Buffer.from(text, 'base64').toString('utf8');
}

/** Returns the exclusive end of the range of keys that start with `prefix`, which must not be empty. */
export function prefixEnd(prefix: string): string {
  const last = prefix.charCodeAt(prefix.length - 1);
  return prefix.slice(0, -1) + String.fromCharCode(last + 1);
}
