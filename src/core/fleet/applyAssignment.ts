import type { Context } from '../Context.js';
import type { Effect } from '../effects.js';
import type { EntryState } from '../EntryState.js';
import type {
  Assignment,
  EntryVmId,
  PartitionId,
  StoreVersion,
  TargetHandover,
} from '../model/index.js';
import { getHandover } from '../targets/index.js';
import { updateGrants } from './grants.js';
import { removeOldHolders, getHolderInEpoch } from './holders.js';
import { isMember, refreshPeers, sendTo } from './peers.js';
import { getLeaseDuration } from './periods.js';

/** Times that a hand-over is sent. If all are lost, the next holder treats the targets as cold. */
const HANDOVER_SENDS = 3;

function supersedesCurrent(state: EntryState, offered: Assignment): boolean {
  const { assignment } = state.fleet;
  if (offered.epoch !== assignment.epoch) return offered.epoch > assignment.epoch;
  // The same epoch with fewer unsettled earlier epochs.
  return offered.epoch > 0 && offered.earlier.length < assignment.earlier.length;
}

function collectHandovers(
  state: EntryState,
  lost: readonly PartitionId[],
): Map<EntryVmId, TargetHandover[]> {
  const byHolder = new Map<EntryVmId, TargetHandover[]>();
  for (const partition of lost) {
    const holder = getHolderInEpoch(state, state.fleet.assignment, partition);
    if (holder === undefined) continue;
    const targets = byHolder.get(holder) ?? [];
    targets.push(...getHandover(state, partition));
    byHolder.set(holder, targets);
  }
  return byHolder;
}

/** Stops driving partitions that are now assigned to others, before anything else is done. */
function releaseLostPartitions(state: EntryState): Effect[] {
  const { assignment, granted, outgoingHandovers } = state.fleet;
  const self = state.settings.self.id;
  const lost = [...granted].filter(
    (partition) => getHolderInEpoch(state, assignment, partition) !== self,
  );
  for (const partition of lost) granted.delete(partition);
  if (lost.length === 0) return [];
  const effects: Effect[] = [];
  for (const [holder, targets] of collectHandovers(state, lost)) {
    const to = assignment.members.find((member) => member.id === holder);
    if (to === undefined) continue;
    const { epoch } = assignment;
    outgoingHandovers.push({ to, epoch, targets, sendsLeft: HANDOVER_SENDS - 1 });
    effects.push(sendTo(to, { kind: 'handover', epoch, targets }));
  }
  const { epoch } = assignment;
  effects.push({ kind: 'raise', event: { kind: 'partitionsLost', partitions: lost, epoch } });
  return effects;
}

/** Limits a lease that was renewed under a larger epoch to what the others now assume. */
function limitLeaseEnd(state: EntryState, now: number): void {
  const { fleet, settings } = state;
  const latest = now + getLeaseDuration(settings, fleet.assignment.members.length);
  fleet.lease.storeExpiry = Math.min(fleet.lease.storeExpiry, latest);
  fleet.lease.majorityExpiry = Math.min(fleet.lease.majorityExpiry, latest);
  fleet.leaseEnd = Math.min(fleet.leaseEnd, latest);
}

/**
 * Applies an assignment if it is later than the current one.
 * @param state - The process's state.
 * @param offered - The assignment, read from the store or sent by a peer that had it from there.
 * @param version - Its version in the store, if known.
 * @param context - Current time and random source.
 */
export function applyAssignment(
  state: EntryState,
  offered: Assignment,
  version: StoreVersion | undefined,
  context: Context,
): Effect[] {
  const { fleet } = state;
  if (!supersedesCurrent(state, offered)) {
    const isSame =
      offered.epoch === fleet.assignment.epoch && offered.nonce === fleet.assignment.nonce;
    if (isSame && version !== undefined) fleet.write.version = version;
    return [];
  }
  const isNewEpoch = offered.epoch > fleet.assignment.epoch;
  fleet.assignment = offered;
  fleet.write.version = version;
  if (isNewEpoch) {
    fleet.write.managedEpoch = 0;
    // The list may name processes that are gone; a removed member must not be added again from it.
    fleet.write.joiners = [];
    fleet.write.appliedAt = context.now;
    fleet.confirmationRounds.length = 0;
    fleet.handovers.forEach((handover, from) => {
      if (handover.epoch < offered.epoch) fleet.handovers.delete(from);
    });
  }
  removeOldHolders(state);
  refreshPeers(state, context.now);
  const effects: Effect[] = isNewEpoch ? releaseLostPartitions(state) : [];
  if (isNewEpoch) {
    limitLeaseEnd(state, context.now);
    const role = isMember(state, state.settings.self.id) ? 'member' : 'no member';
    const text = `epoch ${offered.epoch} with ${offered.members.length} members; ${role}`;
    effects.push({ kind: 'log', level: 'info', part: 'fleet', text });
  }
  effects.push(...updateGrants(state, context.now));
  return effects;
}
