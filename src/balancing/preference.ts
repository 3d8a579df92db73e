import { hashText } from '../core/hash.js';
import type { ZoneName } from '../core/model/index.js';
import type { TargetRecord } from './TargetRecord.js';

/**
 * Weight of a target of this VM's own availability zone relative to other targets. Where the zone
 * has as many targets as a VM prefers, hardly any others are preferred, and requests and probes
 * cross between zones only if the zone's own targets are full.
 */
const OWN_ZONE_PREFERENCE_WEIGHT = 20;

const HASH_RANGE = 2 ** 32;

/**
 * Sorts a service's targets by this VM's preference, most preferred first, by weighted rendezvous
 * hashing.
 *
 * Each VM tries a few targets first and keeps connections to these alone, so that the number of
 * connections does not grow with the product of VMs and targets. Targets of its own zone come first
 * since traffic between zones costs money. Each VM also prefers some others, which relieves zones
 * with little spare capacity.
 * @param records - Targets of one service.
 * @param vm - Name of this VM.
 * @param zone - Availability zone of this VM.
 */
export function sortByPreference(
  records: readonly TargetRecord[],
  vm: string,
  zone: ZoneName,
): TargetRecord[] {
  return records
    .map((record) => {
      const hashFraction = (hashText(`${vm}|${record.entry.id}`) + 1) / (HASH_RANGE + 1);
      const weight = record.entry.zone === zone ? OWN_ZONE_PREFERENCE_WEIGHT : 1;
      return { record, key: hashFraction ** (1 / weight) };
    })
    .sort((a, b) => b.key - a.key)
    .map(({ record }) => record);
}
