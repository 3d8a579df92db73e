/** Path at which callers ask which entry VMs to use. */
export const ADDRESSES_PATH = '/masticlink/resolution';

/** Path at which the platform asks whether an entry VM accepts callers. */
export const READY_PATH = '/masticlink/readiness';

/**
 * Encodes the answer to a caller that asks which entry VMs to use.
 * @param addresses - IP addresses and ports.
 * @param ttlMs - How long the caller may cache the answer, in milliseconds.
 */
export function writeAddresses(addresses: readonly string[], ttlMs: number): string {
  return JSON.stringify({ addresses, ttl: `${ttlMs}ms` });
}
