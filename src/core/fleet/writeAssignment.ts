import type { Context } from '../Context.js';
import type { Effect } from '../effects.js';
import type { EntryState } from '../EntryState.js';
import type { EventOf } from '../Handler.js';
import type { Assignment, EntryVmId, Member } from '../model/index.js';
import { enqueueStoreCall } from '../storeCalls/index.js';
import { applyAssignment } from './applyAssignment.js';
import { isSettled } from './grants.js';
import { MAX_UNSETTLED_EPOCHS_FOR_JOIN } from './periods.js';
import { broadcastAssignment } from './assignmentMessages.js';

/** Store key of the assignment. */
export const ASSIGNMENT_KEY = 'fleet/assignment';

/** Base of the exponential backoff after a failed write, in milliseconds. */
const RETRY_BASE_MS = 40;
const MAX_RETRY_MS = 1_000;

/** Whether to remove this process: it is stopping, and other members can take over. */
function shouldLeave(state: EntryState): boolean {
  const { assignment, departed, stopping } = state.fleet;
  const self = state.settings.self.id;
  if (!stopping) return false;
  return assignment.members.some(({ id }) => id !== self && !departed.has(id));
}

/**
 * Whether a process that holds a lease may become a member. A process keeps its lease during a
 * planned stop until it exits. If it were added again, it would get back the targets that it has
 * just handed over, and they would be idle until it is gone.
 */
function canJoin(state: EntryState, id: EntryVmId): boolean {
  const { ended, peers, stopping } = state.fleet;
  if (id === state.settings.self.id) return !stopping;
  return !ended.has(id) && peers.get(id)?.leaving !== true;
}

function getDesiredMembers(state: EntryState): Member[] {
  const { assignment, departed, lease, stopping, write } = state.fleet;
  const { self } = state.settings;
  const isStaying = !shouldLeave(state);
  const members = assignment.epoch === 0 ? [] : assignment.members;
  const kept = members.filter(({ id }) => !departed.has(id) && (id !== self.id || isStaying));
  if (assignment.earlier.length >= MAX_UNSETTLED_EPOCHS_FOR_JOIN) return kept;
  const candidates = lease.isActive && !stopping ? [self, ...write.joiners] : write.joiners;
  const added = new Map<string, Member>();
  for (const member of candidates) {
    const isKnown = members.some(({ id }) => id === member.id);
    if (!isKnown && canJoin(state, member.id)) added.set(member.id, member);
  }
  return [...kept, ...added.values()];
}

function hasSameMembers(a: readonly Member[], b: readonly Member[]): boolean {
  if (a.length !== b.length) return false;
  const ids = new Set(a.map(({ id }) => id));
  return b.every(({ id }) => ids.has(id));
}

/** Returns the assignment that this process would write; undefined if no change is needed. */
function getProposal(state: EntryState, context: Context): Assignment | undefined {
  const { assignment, write } = state.fleet;
  const nonce = `${state.settings.self.id}:${Math.floor(context.random() * 2 ** 48).toString(36)}`;
  const earlier = assignment.earlier.filter((epoch) => !isSettled(state, epoch, context.now));
  const members = getDesiredMembers(state);
  if (members.length === 0) return undefined;
  if (!hasSameMembers(members, assignment.members) || assignment.epoch === 0) {
    const { epoch } = assignment;
    const previous = epoch === 0 ? [] : [{ epoch, members: assignment.members }];
    return { epoch: epoch + 1, members, earlier: [...earlier, ...previous], nonce };
  }
  const isPruned = earlier.length < assignment.earlier.length;
  if (!isPruned || write.managedEpoch !== assignment.epoch || earlier.length > 0) return undefined;
  return { ...assignment, earlier, nonce };
}

/**
 * Reads the assignment from the store.
 * @param state - The process's state.
 * @param tag - Purpose of the read.
 * @param context - Current time and random source.
 */
export function readAssignment(
  state: EntryState,
  tag: 'change' | 'lease',
  context: Context,
): Effect[] {
  const op = { op: 'get', key: ASSIGNMENT_KEY } as const;
  const call = { storeClass: 'lease', purpose: 'assignmentRead', tag, op } as const;
  return enqueueStoreCall(state, call, context);
}

/**
 * Writes the assignment that this process considers correct, if it differs, by a conditional
 * update. Any process may do so. One that loses a race reads the other's write and tries again.
 * @param state - The process's state.
 * @param context - Current time and random source.
 */
export function changeAssignment(state: EntryState, context: Context): Effect[] {
  const { write } = state.fleet;
  if (write.isPending || context.now < write.notBefore) return [];
  const proposal = getProposal(state, context);
  if (proposal === undefined) return [];
  write.isPending = true;
  if (write.version === undefined) return readAssignment(state, 'change', context);
  write.proposed = proposal;
  const op = { op: 'put', key: ASSIGNMENT_KEY, value: proposal, expect: write.version } as const;
  const call = { storeClass: 'lease', purpose: 'assignmentWrite', tag: '', op } as const;
  return enqueueStoreCall(state, call, context);
}

function backOff(state: EntryState, context: Context): void {
  const { write } = state.fleet;
  write.failures += 1;
  const delayMs = Math.min(MAX_RETRY_MS, RETRY_BASE_MS * 2 ** Math.min(write.failures, 6));
  write.notBefore = context.now + delayMs * context.random();
}

function acceptProposal(
  state: EntryState,
  proposed: Assignment,
  version: number,
  context: Context,
): Effect[] {
  const { write } = state.fleet;
  const isNewEpoch = proposed.epoch > state.fleet.assignment.epoch;
  write.failures = 0;
  write.joiners = [];
  const effects = applyAssignment(state, proposed, version, context);
  if (isNewEpoch) write.managedEpoch = proposed.epoch;
  return [...effects, ...broadcastAssignment(state, context.now)];
}

/** Handles the result of a conditional write of the assignment. */
export function handleAssignmentWritten(
  state: EntryState,
  event: EventOf<'storeResolved'>,
  context: Context,
): Effect[] {
  const { write } = state.fleet;
  const { proposed } = write;
  const { result } = event;
  if (state.guards.readBackAfterUnknown(result)) return readAssignment(state, 'change', context);
  write.isPending = false;
  write.proposed = undefined;
  if (result.kind === 'written' && proposed !== undefined) {
    return acceptProposal(state, proposed, result.version, context);
  }
  if (result.kind === 'conflict') write.version = undefined;
  backOff(state, context);
  return [];
}

/** Applies the assignment that was read; detects an own write whose answer was lost. */
export function handleAssignmentRead(
  state: EntryState,
  event: EventOf<'storeResolved'>,
  context: Context,
): Effect[] {
  const { write } = state.fleet;
  const { result } = event;
  const isForChange = event.tag === 'change';
  if (isForChange) {
    write.isPending = false;
    write.proposed = undefined;
  }
  if (result.kind === 'missing') write.version = 0;
  if (result.kind === 'found') {
    const { value, version } = result.entry;
    const read = value as Assignment;
    const isOwn = read.nonce.startsWith(`${state.settings.self.id}:`);
    if (isOwn && read.epoch > state.fleet.assignment.epoch) {
      return acceptProposal(state, read, version, context);
    }
    const effects = applyAssignment(state, read, version, context);
    return isForChange ? [...effects, ...changeAssignment(state, context)] : effects;
  }
  if (!isForChange) return [];
  if (result.kind !== 'missing') {
    write.version = undefined;
    backOff(state, context);
  }
  return changeAssignment(state, context);
}
