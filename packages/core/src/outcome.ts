/** Results as values: expected failures are returned; only violated invariants are thrown. */

/** A successful result. */
export interface Ok<T> {
  readonly ok: true;
  readonly value: T;
}

/** An expected failure with a typed error. */
export interface Failure<E> {
  readonly ok: false;
  readonly error: E;
}

/** Either a value or a typed error. */
export type Outcome<T, E> = Ok<T> | Failure<E>;

/** Wraps a value as success. */
export function ok<T>(value: T): Ok<T> {
  return { ok: true, value };
}

/** Wraps an error as failure. */
export function fail<E>(error: E): Failure<E> {
  return { ok: false, error };
}
