import type { Container, ServiceIdentifier } from 'inversify';

/** Looks up other parts while a part is built. */
export type GetPart = <T>(identifier: ServiceIdentifier<T>) => T;

/** Binds a part by the function that builds it once, on first use. */
export function bindPart<T>(
  container: Container,
  identifier: ServiceIdentifier<T>,
  build: (get: GetPart) => T,
): void {
  const get: GetPart = (wanted) => container.get(wanted);
  container.bind(identifier).toDynamicValue(() => build(get));
}
