import type { Context } from '../Context.js';
import type { Effect } from '../effects.js';
import type { EntryState } from '../EntryState.js';
import type { EventOf } from '../Handler.js';
import type { LeaseRecord, Member } from '../model/index.js';
import { enqueueStoreCall } from '../storeCalls/index.js';
import { isMember, sendTo } from './peers.js';
import { changeAssignment } from './writeAssignment.js';

/** Minimum time between two lists of the processes that wait to join, in milliseconds. */
const LIST_INTERVAL_MS = 1_000;

/** If an epoch isn't settled this long after it was applied, its writer may have failed. */
const COORDINATOR_TIMEOUT_MS = 4_000;
const COORDINATOR_STAGGER_MS = 1_000;

/** VMs from the platform's list that get a `hello` per round while no entry VM is known. */
const HELLOS_PER_ROUND = 3;

/**
 * Joins the fleet. One write adds all processes that hold a lease and are not members yet. Without
 * that, a fleet whose processes start together would write one epoch for each of them.
 */
function joinFleet(state: EntryState, context: Context): Effect[] {
  const { lease, stopping, write } = state.fleet;
  if (stopping || !lease.isActive || context.now < write.notBefore) return [];
  if (context.now - write.listedAt < LIST_INTERVAL_MS) return changeAssignment(state, context);
  write.listedAt = context.now;
  const op = { op: 'list', prefix: 'fleet/members/' } as const;
  const call = { storeClass: 'lease', purpose: 'memberList', tag: '', op } as const;
  return enqueueStoreCall(state, call, context);
}

/** Records the processes that wait to join, and adds them to the assignment. */
export function handleMemberList(
  state: EntryState,
  event: EventOf<'storeResolved'>,
  context: Context,
): Effect[] {
  const { result } = event;
  if (result.kind !== 'listed') return [];
  const joiners: Member[] = [];
  for (const entry of result.entries) {
    const { leaving, member, released } = entry.value as LeaseRecord;
    if (!leaving && !released && !isMember(state, member.id)) joiners.push(member);
  }
  state.fleet.write.joiners = joiners;
  return changeAssignment(state, context);
}

/**
 * Takes over the coordination of an epoch whose writer may have failed. Some member has to find out
 * whether all members act under the epoch. Otherwise earlier epochs never become settled, and once
 * there are too many of them no process can join.
 */
function takeOverCoordination(state: EntryState, now: number): void {
  const { assignment, departed, write } = state.fleet;
  if (assignment.earlier.length === 0 || write.managedEpoch === assignment.epoch) return;
  const ids = assignment.members.map(({ id }) => id).filter((id) => !departed.has(id));
  const rank = ids.sort().indexOf(state.settings.self.id);
  const timeoutMs = COORDINATOR_TIMEOUT_MS + rank * COORDINATOR_STAGGER_MS;
  if (rank >= 0 && now - write.appliedAt >= timeoutMs) write.managedEpoch = assignment.epoch;
}

/**
 * Sends a `hello` to possible entry VMs, for when the store can't name any: VMs of the platform's
 * list that are not targets, at the port that this process itself listens on for peers.
 */
function sendDiscoveryHellos(state: EntryState, context: Context): Effect[] {
  const { self } = state.settings;
  const port = self.peerAddress.slice(self.peerAddress.lastIndexOf(':') + 1);
  const candidates = state.configuration.vms.filter(
    (vm) => vm.service === undefined && `${vm.ip}:${port}` !== self.peerAddress,
  );
  const effects: Effect[] = [];
  for (let i = 0; i < Math.min(HELLOS_PER_ROUND, candidates.length); i++) {
    const vm = candidates[Math.floor(context.random() * candidates.length)];
    if (vm === undefined) continue;
    const peerAddress = `${vm.ip}:${port}`;
    const to = { id: vm.name, zone: vm.zone, address: '', peerAddress };
    effects.push(sendTo(to, { kind: 'hello', member: self }));
  }
  return effects;
}

/**
 * Joins the fleet if necessary, and writes any change to the membership that is needed.
 * @param state - The process's state.
 * @param context - Current time and random source.
 */
export function maintainMembership(state: EntryState, context: Context): Effect[] {
  const { assignment, hasExited } = state.fleet;
  if (hasExited) return [];
  takeOverCoordination(state, context.now);
  if (!isMember(state, state.settings.self.id) || assignment.epoch === 0) {
    return joinFleet(state, context);
  }
  return changeAssignment(state, context);
}

/** Looks for peers while there is no assignment and no known peer; runs once a second. */
export function discoverPeers(state: EntryState, context: Context): Effect[] {
  const { assignment, hasExited, peers } = state.fleet;
  if (hasExited || assignment.epoch > 0 || peers.size > 0) return [];
  return sendDiscoveryHellos(state, context);
}
