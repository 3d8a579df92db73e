import type { VmEntry } from '../balancing/index.js';
import type { GatewaySettings } from '../config/index.js';
import { writeAddresses } from '../platform/index.js';

/** How long callers keep the addresses they are told, in milliseconds, if they may keep them so long. */
const ADDRESS_TTL_MS = 2_000;

/** Addresses in one answer at the most. */
const MOST_ADDRESSES = 64;

/**
 * Writes the answer to a caller who asks which entry VMs to use.
 * @param settings - Of this VM.
 * @param others - Other VMs that are up and take callers.
 * @param isStopping - Whether this VM takes no more callers; it then names itself only if it knows of
 *   no other.
 */
export function writeAddressAnswer(
  { self, addressTtlMostMs }: Pick<GatewaySettings, 'self' | 'addressTtlMostMs'>,
  others: readonly VmEntry[],
  isStopping: boolean,
): string {
  const own = isStopping && others.length > 0 ? [] : [self];
  const addresses = [...own, ...others].map(({ callers }) => callers).slice(0, MOST_ADDRESSES);
  return writeAddresses(addresses, Math.min(ADDRESS_TTL_MS, addressTtlMostMs));
}
