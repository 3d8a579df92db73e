import type { Effect } from '../effects.js';
import type { EntryState } from '../EntryState.js';
import type { EntryVmId, PartitionId } from '../model/index.js';
import { getAllPartitions, getHolderInEpoch } from './holders.js';
import { isMember } from './peers.js';

/**
 * Whether a process no longer acts under any epoch up to `epoch`: it applied a later one, it ended,
 * or its lease expired after it could no longer be renewed. Once true, each of these stays true, so
 * members may find it out at different times.
 * @param state - The process's state.
 * @param id - The process.
 * @param epoch - An earlier epoch.
 * @param now - Monotonic milliseconds.
 */
export function isReleased(state: EntryState, id: EntryVmId, epoch: number, now: number): boolean {
  const { ended, lapses, peers } = state.fleet;
  if (id === state.settings.self.id || ended.has(id)) return true;
  const peer = peers.get(id);
  if (peer !== undefined && peer.appliedEpoch > epoch) return true;
  const known = lapses.get(id) ?? [];
  return known.some(({ before, at }) => before > epoch && now >= at + state.settings.leaseMarginMs);
}

/** Returns the earlier holders of a partition that may still drive it. */
function getBlockers(state: EntryState, partition: PartitionId, now: number): EntryVmId[] {
  const blockers: EntryVmId[] = [];
  for (const epoch of state.fleet.assignment.earlier) {
    const holder = getHolderInEpoch(state, epoch, partition);
    if (holder === undefined) continue;
    if (!isReleased(state, holder, epoch.epoch, now)) blockers.push(holder);
  }
  return blockers;
}

/** Raises the hand-overs of the current epoch; those of targets not yet known stay pending. */
export function raiseHandovers(state: EntryState): Effect[] {
  const { assignment, handovers } = state.fleet;
  return [...handovers.values()]
    .filter(({ epoch, targets }) => epoch === assignment.epoch && targets.length > 0)
    .map(({ targets }) => ({ kind: 'raise', event: { kind: 'handoverReady', targets } }));
}

/**
 * Grants the partitions that are assigned to this process and that no earlier holder may drive.
 * @param state - The process's state.
 * @param now - Monotonic milliseconds.
 */
export function updateGrants(state: EntryState, now: number): Effect[] {
  const { assignment, blockers, granted } = state.fleet;
  const self = state.settings.self.id;
  const gained: PartitionId[] = [];
  const blocking = new Set<EntryVmId>();
  if (assignment.epoch > 0 && isMember(state, self)) {
    for (const partition of getAllPartitions(state)) {
      if (granted.has(partition)) continue;
      if (getHolderInEpoch(state, assignment, partition) !== self) continue;
      const blockedBy = getBlockers(state, partition, now);
      for (const id of blockedBy) blocking.add(id);
      if (state.guards.waitForEarlierHolders(blockedBy.length === 0)) gained.push(partition);
    }
  }
  for (const id of blockers.keys()) if (!blocking.has(id)) blockers.delete(id);
  for (const id of blocking) if (!blockers.has(id)) blockers.set(id, now);
  for (const partition of gained) granted.add(partition);
  if (gained.length === 0) return [];
  return [
    { kind: 'raise', event: { kind: 'partitionsGained', partitions: gained } },
    ...raiseHandovers(state),
  ];
}

/** Whether no member of an earlier epoch acts under it any more. */
export function isSettled(
  state: EntryState,
  epoch: { readonly epoch: number; readonly members: readonly { readonly id: EntryVmId }[] },
  now: number,
): boolean {
  return epoch.members.every(({ id }) => isReleased(state, id, epoch.epoch, now));
}
