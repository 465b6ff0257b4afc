/** Messages of the etcd v3 JSON gateway, the subset that is used. Keys and values are base64. */

export interface EtcdKeyValue {
  key: string;
  value?: string;
  mod_revision: string;
}

export interface EtcdRangeRequest {
  key: string;
  range_end?: string;
  limit?: number;
}

export interface EtcdRangeResponse {
  kvs?: EtcdKeyValue[];
  count?: string;
}

export interface EtcdCompare {
  key: string;
  target: 'MOD';
  result: 'EQUAL';
  mod_revision: string;
}

export interface EtcdRequestOp {
  request_put?: { key: string; value: string };
  request_delete_range?: { key: string };
  request_range?: EtcdRangeRequest;
}

export interface EtcdTxnRequest {
  compare: EtcdCompare[];
  success: EtcdRequestOp[];
  failure: EtcdRequestOp[];
}

export interface EtcdTxnResponse {
  header: { revision: string };
  succeeded?: boolean;
  responses?: { response_range?: EtcdRangeResponse }[];
}

export interface EtcdWatchMessage {
  result: { created?: boolean; events?: { type?: 'PUT' | 'DELETE'; kv: EtcdKeyValue }[] };
}

/** Encodes a key or value. */
export function toBase64(text: string): string {
  return Buffer.from(text, 'utf8').toString('base64');
}

/** Decodes a key or value. */
export function fromBase64(text: string): string {
  return Buffer.from(text, 'base64').toString('utf8');
}

/** The exclusive end of the range of keys that start with `prefix`. */
export function prefixEnd(prefix: string): string {
  const last = prefix.charCodeAt(prefix.length - 1);
  return prefix.slice(0, -1) + String.fromCharCode(last + 1);
}
