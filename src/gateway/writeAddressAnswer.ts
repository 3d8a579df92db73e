import type { VmAnnouncement } from '../balancing/index.js';
import type { GatewaySettings } from '../config/index.js';
import { writeAddresses } from '../platform/index.js';

/** How long callers may cache the addresses, in milliseconds, unless the settings allow less. */
const ADDRESS_TTL_MS = 2_000;

/** Maximum number of addresses in one answer. */
const MAX_ADDRESSES = 64;

/**
 * Writes the answer to a caller that asks for the addresses of entry VMs.
 * @param settings - Settings of this VM.
 * @param others - Other VMs that are up and accept callers.
 * @param isStopping - Whether this VM is stopping; it is then listed only if no other VM is known.
 */
export function writeAddressAnswer(
  { self, addressTtlMostMs }: Pick<GatewaySettings, 'self' | 'addressTtlMostMs'>,
  others: readonly VmAnnouncement[],
  isStopping: boolean,
): string {
  const own = isStopping && others.length > 0 ? [] : [self];
  const addresses = [...own, ...others].map(({ callers }) => callers).slice(0, MAX_ADDRESSES);
  return writeAddresses(addresses, Math.min(ADDRESS_TTL_MS, addressTtlMostMs));
}
