import type { EntryState } from '../EntryState.js';
import { getRendezvousWinner, hashText } from '../hash.js';
import type { EntryVmId, Member, PartitionId, TargetConfig } from '../model/index.js';
import type { CoreSettings } from '../settings.js';

/** An epoch and its members, which determine the holder of every partition. */
export interface EpochMembers {
  readonly epoch: number;
  readonly members: readonly Member[];
}

/**
 * Partitions over which the targets of one service are spread in one zone. With one, a request most
 * often finds a free slot in the entry VM where it arrives, but the loss of a holder takes all
 * targets of the service in the zone out of use. With two, the remaining targets of a service in
 * three zones can still carry a load of 0.8 (docs/design/routing.md).
 */
const PARTITIONS_PER_SERVICE = 2;

/**
 * Returns the partition of a target. Targets of a service share few partitions: a holder with
 * several of them can use another one when one has no free slot, without forwarding the request.
 * The partition depends only on the target's service, id and zone, so all processes agree on it
 * whichever configuration they have.
 * @param settings - Provide the number of partitions per zone.
 * @param target - The target.
 */
export function getPartition(settings: CoreSettings, target: TargetConfig): PartitionId {
  const group = `${target.service}/${hashText(target.id) % PARTITIONS_PER_SERVICE}`;
  return `${target.zone}/${hashText(group) % settings.partitionsPerZone}`;
}

/**
 * Returns all partitions of the zones in the configuration.
 * @param state - The process's state.
 */
export function getAllPartitions(state: EntryState): PartitionId[] {
  const partitions: PartitionId[] = [];
  for (const zone of state.configuration.zones.keys()) {
    for (let i = 0; i < state.settings.partitionsPerZone; i++) partitions.push(`${zone}/${i}`);
  }
  return partitions;
}

/**
 * Returns the member that drives a partition: one in the partition's zone if there is any. This
 * also applies to a zone that is out, since its entry VMs remain closest to its targets, which may
 * have outstanding requests and may return soon. Moving the partitions would cost two hand-overs
 * and gain nothing.
 * @param partition - The partition.
 * @param members - The members of an epoch.
 */
export function getHolder(partition: PartitionId, members: readonly Member[]): Member | undefined {
  const zone = partition.slice(0, partition.lastIndexOf('/'));
  const local = members.filter((member) => member.zone === zone);
  const candidates = local.length > 0 ? local : members;
  const winner = getRendezvousWinner(
    partition,
    candidates.map((member) => member.id),
  );
  return candidates.find((member) => member.id === winner);
}

/**
 * Returns the holder of a partition in an epoch that this process knows, from a cache.
 * @param state - The process's state.
 * @param epoch - The current epoch or an earlier one.
 * @param partition - The partition.
 */
export function getHolderInEpoch(
  state: EntryState,
  epoch: EpochMembers,
  partition: PartitionId,
): EntryVmId | undefined {
  let table = state.fleet.holdersByEpoch.get(epoch.epoch);
  if (table === undefined) {
    table = new Map();
    state.fleet.holdersByEpoch.set(epoch.epoch, table);
  }
  if (!table.has(partition)) table.set(partition, getHolder(partition, epoch.members)?.id);
  return table.get(partition);
}

/**
 * Returns the member that drives a partition under the latest known assignment.
 * @param state - The process's state.
 * @param partition - The partition.
 */
export function getCurrentHolder(state: EntryState, partition: PartitionId): Member | undefined {
  const { assignment } = state.fleet;
  const id = getHolderInEpoch(state, assignment, partition);
  return assignment.members.find((member) => member.id === id);
}

/** Drops the cached holders of epochs that are neither current nor unsettled. */
export function removeOldHolders(state: EntryState): void {
  const { assignment, holdersByEpoch } = state.fleet;
  const known = new Set([assignment.epoch, ...assignment.earlier.map(({ epoch }) => epoch)]);
  for (const epoch of holdersByEpoch.keys()) if (!known.has(epoch)) holdersByEpoch.delete(epoch);
}
