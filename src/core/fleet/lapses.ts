import type { Context } from '../Context.js';
import type { Effect } from '../effects.js';
import type { EntryState } from '../EntryState.js';
import type { MessageHandler } from '../Handler.js';
import type { EarlierEpoch, EntryVmId, Lapse, Member } from '../model/index.js';
import { hashText } from '../hash.js';
import { deleteMemberLease, getMaxLeaseDuration, readMemberLease } from './fence.js';
import { isReleased, updateGrants } from './grants.js';
import { getKnownMembers, isMember, sendTo } from './peers.js';
import { BLOCKED_TIMEOUT_MS, RANK_STAGGER_MS } from './periods.js';
import { resendAssignment } from './assignmentMessages.js';

/** Most lapses that are kept per process. */
const MAX_LAPSES_PER_PROCESS = 8;

/** Number of ranks by which the processes blocked by the same holder stagger their actions. */
const RANK_COUNT = 8;

function hasMember(epoch: EarlierEpoch, id: EntryVmId): boolean {
  return epoch.members.some((member) => member.id === id);
}

/** Latest time at which a member can have confirmed `id`; undefined if it may still do so. */
function getLastConfirmationBy(
  state: EntryState,
  member: Member,
  epoch: number,
  id: EntryVmId,
  now: number,
): number | undefined {
  const { givenConfirmations, ended, peers } = state.fleet;
  if (member.id === state.settings.self.id) {
    return givenConfirmations.get(id) ?? Number.NEGATIVE_INFINITY;
  }
  const peer = peers.get(member.id);
  if (peer !== undefined && peer.ackedEpoch > epoch) {
    return peer.confirmations.get(id) ?? Number.NEGATIVE_INFINITY;
  }
  // It can confirm nothing more, but may have confirmed `id` just before it ended.
  if (ended.has(member.id)) return now;
  return undefined;
}

/**
 * Latest time at which a majority can have confirmed `id` under an epoch; undefined while another
 * such confirmation is possible. `id` needs more than half of the members. Once half of them give
 * no more confirmations no majority is left, and the last one included a member of this half.
 */
function getConfirmedUntil(
  state: EntryState,
  epoch: EarlierEpoch,
  id: EntryVmId,
  now: number,
): number | undefined {
  const times = epoch.members
    .filter((member) => member.id !== id)
    .map((member) => getLastConfirmationBy(state, member, epoch.epoch, id, now))
    .filter((time) => time !== undefined)
    .sort((a, b) => a - b);
  const size = epoch.members.length;
  const half = Math.ceil(size / 2);
  if (!state.guards.majorityBeforeTakeover(times.length, size)) return undefined;
  return times.length === 0 ? Number.NEGATIVE_INFINITY : times[Math.min(half, times.length) - 1];
}

/** Records that from `at` on a process acts under no epoch earlier than `before`. */
function addLapse(state: EntryState, id: EntryVmId, before: number, at: number): void {
  const { lapses } = state.fleet;
  const known = (lapses.get(id) ?? []).filter((lapse) => lapse.before > before || lapse.at < at);
  lapses.set(id, [...known, { before, at }].slice(-MAX_LAPSES_PER_PROCESS));
}

function hasLapse(state: EntryState, id: EntryVmId, before: number): boolean {
  return (state.fleet.lapses.get(id) ?? []).some((lapse) => lapse.before >= before);
}

/**
 * Determines until when a process whose lease object is gone can act under an epoch earlier than
 * the one that was already written when the object was found gone.
 */
function detectLapse(state: EntryState, id: EntryVmId, now: number): Lapse | undefined {
  const fence = state.fleet.fences.get(id);
  if (fence?.leaseEndsBy === undefined || hasLapse(state, id, fence.fencedEpoch)) return undefined;
  let at = fence.leaseEndsBy;
  for (const epoch of state.fleet.assignment.earlier) {
    if (epoch.epoch >= fence.fencedEpoch || !hasMember(epoch, id)) continue;
    const confirmedUntil = getConfirmedUntil(state, epoch, id, now);
    if (confirmedUntil === undefined) return undefined;
    at = Math.max(at, confirmedUntil + getMaxLeaseDuration(state));
  }
  addLapse(state, id, fence.fencedEpoch, at);
  return {
    member: id,
    before: fence.fencedEpoch,
    remainingMs: Math.max(0, at - now),
    ended: false,
  };
}

function broadcastLapses(state: EntryState, lapses: readonly Lapse[]): Effect[] {
  if (lapses.length === 0) return [];
  const lapsed = new Set(lapses.map(({ member }) => member));
  return [...getKnownMembers(state).values()]
    .filter(({ id }) => !lapsed.has(id) && !state.fleet.ended.has(id))
    .map((to) => sendTo(to, { kind: 'lapsesTold', lapses }));
}

/** Tells all members that a process has ended. */
export function broadcastEnded(state: EntryState, id: EntryVmId): Effect[] {
  return broadcastLapses(state, [{ member: id, before: 0, remainingMs: 0, ended: true }]);
}

function isResponsibleFor(state: EntryState, id: EntryVmId, now: number): boolean {
  const { assignment, blockers, departed, write } = state.fleet;
  if (departed.has(id) && write.managedEpoch === assignment.epoch) return true;
  const since = blockers.get(id);
  if (since === undefined) return false;
  const rank = hashText(`${state.settings.self.id}|${id}`) % RANK_COUNT;
  return now - since >= BLOCKED_TIMEOUT_MS + rank * RANK_STAGGER_MS;
}

/** Latest unsettled epoch under which a process may still act; undefined if there is none. */
function getLastUnsettledEpoch(state: EntryState, id: EntryVmId, now: number): number | undefined {
  const { assignment } = state.fleet;
  const latest = assignment.earlier.findLast((epoch) => hasMember(epoch, id));
  if (latest === undefined || isReleased(state, id, latest.epoch, now)) return undefined;
  return latest.epoch;
}

/** Reads the lease of a member; deletes the lease of a former member so it can't be renewed. */
function checkOrDeleteLease(
  state: EntryState,
  id: EntryVmId,
  epoch: number,
  context: Context,
): Effect[] {
  if (hasLapse(state, id, epoch + 1)) return [];
  if (isMember(state, id)) return readMemberLease(state, id, context);
  const fence = state.fleet.fences.get(id);
  const isFenced = fence?.leaseEndsBy !== undefined && fence.fencedEpoch > epoch;
  return isFenced ? [] : deleteMemberLease(state, id, context);
}

/**
 * Ensures that silent earlier holders can no longer act, and tells all members from when on this
 * holds. The member that coordinates the epoch does this. If it has failed, the processes that are
 * blocked by such a holder do, staggered by rank.
 * @param state - The process's state.
 * @param context - Current time and random source.
 */
export function fenceSilentHolders(state: EntryState, context: Context): Effect[] {
  const effects = resendAssignment(state, context.now);
  const newLapses: Lapse[] = [];
  for (const id of getKnownMembers(state).keys()) {
    const epoch = getLastUnsettledEpoch(state, id, context.now);
    if (epoch === undefined || !isResponsibleFor(state, id, context.now)) continue;
    effects.push(...checkOrDeleteLease(state, id, epoch, context));
    const lapse = detectLapse(state, id, context.now);
    if (lapse !== undefined) newLapses.push(lapse);
  }
  effects.push(...broadcastLapses(state, newLapses));
  effects.push(...updateGrants(state, context.now));
  return effects;
}

/** Records lapses found by another member; a message delay only makes the wait longer. */
export const handleLapsesTold: MessageHandler<'lapsesTold'> = (state, _from, message, context) => {
  const { departed, ended } = state.fleet;
  for (const { member, before, remainingMs, ended: hasEnded } of message.lapses) {
    if (member === state.settings.self.id) continue;
    if (hasEnded) {
      ended.add(member);
      departed.add(member);
    } else {
      addLapse(state, member, before, context.now + remainingMs);
    }
  }
  return updateGrants(state, context.now);
};
