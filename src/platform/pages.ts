/** Where callers ask which entry VMs to use. */
export const ADDRESSES_PATH = '/masticlink/resolution';

/** Where the platform asks whether an entry VM takes callers. */
export const READY_PATH = '/masticlink/readiness';

/**
 * Writes the answer to a caller who asks which entry VMs to use.
 * @param addresses - IP numbers and ports.
 * @param ttlMs - How long the caller may keep the answer, in milliseconds.
 */
export function writeAddresses(addresses: readonly string[], ttlMs: number): string {
  return JSON.stringify({ addresses, ttl: `${ttlMs}ms` });
}
