/** Largest TCP port number. */
const MAX_PORT = 65_535;

/** Host and port of a network address. */
export interface HostPort {
  readonly host: string;
  readonly port: number;
}

/**
 * Splits `host:port` at its last colon. A missing or invalid port is returned as 0, to which no connection can
 * be made.
 */
export function splitAddress(address: string): HostPort {
  const at = address.lastIndexOf(':');
  if (at < 0) return { host: address, port: 0 };
  const port = Number(address.slice(at + 1));
  return { host: address.slice(0, at), port: Number.isInteger(port) && port <= MAX_PORT ? port : 0 };
}
