import { hashText } from '../core/hash.js';
import type { ZoneName } from '../core/model/index.js';
import type { TargetRecord } from './TargetRecord.js';

/**
 * A target of this VM's own availability zone is preferred as if it stood so many times as often.
 * Where a zone has as many targets as a VM prefers, it so prefers hardly any others, and answers and
 * probes cross between zones only when its own targets have no room.
 */
const OWN_ZONE_WEIGHT = 20;

const HASHES = 2 ** 32;

/**
 * Orders a service's targets by how much this VM prefers them (weighted rendezvous hashing).
 *
 * Each VM looks at a few targets first, so that it keeps connections to those alone and work does
 * not grow with all VMs times all targets. Those of its own zone come first, since bytes between zones
 * are paid for; each VM also looks at others, so that zones with little room are helped out.
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
      const chance = (hashText(`${vm}|${record.entry.id}`) + 1) / (HASHES + 1);
      const weight = record.entry.zone === zone ? OWN_ZONE_WEIGHT : 1;
      return { record, key: chance ** (1 / weight) };
    })
    .sort((a, b) => b.key - a.key)
    .map(({ record }) => record);
}
