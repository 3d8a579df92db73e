import { isIPv4 } from 'node:net';

/** IP address and port of a socket that can be connected to. */
export interface SocketAddress {
  readonly host: string;
  readonly port: number;
}

const ADDRESS_PATTERN = /^([\d.]{7,15}):([1-9]\d{0,4})$/;

const MAX_PORT = 65_535;

/** First octet of multicast addresses; all above it are multicast, reserved or broadcast ones. */
const FIRST_MULTICAST_OCTET = 224;

/**
 * Parses an address that another process may be reached at. Node throws where a request, a connection
 * or a datagram is given a port out of range, so that addresses are checked where they are read.
 * @param text - IPv4 address and port.
 * @returns Undefined for anything else, and for addresses that no single host can have.
 * @example
 * parseSocketAddress('10.1.0.18:8381'); // { host: '10.1.0.18', port: 8381 }
 */
export function parseSocketAddress(text: unknown): SocketAddress | undefined {
  const match = typeof text === 'string' ? ADDRESS_PATTERN.exec(text) : null;
  if (match === null) return undefined;
  const [, host, digits] = match;
  const port = Number(digits);
  const firstOctet = Number.parseInt(host, 10);
  const isOfHost = firstOctet > 0 && firstOctet < FIRST_MULTICAST_OCTET;
  return isIPv4(host) && isOfHost && port <= MAX_PORT ? { host, port } : undefined;
}

/**
 * Whether a value is an address that another process may be reached at.
 * @param value - The value.
 * @example
 * isSocketAddress('10.1.0.18:70000'); // false
 */
export function isSocketAddress(value: unknown): value is string {
  return parseSocketAddress(value) !== undefined;
}
