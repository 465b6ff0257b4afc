import type { Container, ServiceIdentifier } from 'inversify';

/** Resolves the dependencies of a part while the part is built. */
export type GetPart = <T>(identifier: ServiceIdentifier<T>) => T;

/**
 * Binds `identifier` to a part that `build` creates once, when the part is first requested. The default scope of
 * `container` must be singleton.
 */
export function bindPart<T>(
  container: Container,
  identifier: ServiceIdentifier<T>,
  build: (get: GetPart) => T,
): void {
  const get: GetPart = (wanted) => container.get(wanted);
  container.bind(identifier).toDynamicValue(() => build(get));
}
