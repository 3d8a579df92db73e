import type { Context } from '../Context.js';
import type { Effect } from '../effects.js';
import type { EntryState } from '../EntryState.js';
import type { MessageHandler } from '../Handler.js';
import type { EntryVmId, Member, RecentConfirmation } from '../model/index.js';
import { applyAssignment } from './applyAssignment.js';
import { updateGrants } from './grants.js';
import { addPeer, getKnownMembers, recordHeard, sendTo } from './peers.js';
import { ASSIGNMENT_RESEND_MS } from './periods.js';

function getRecentConfirmations(state: EntryState, now: number): RecentConfirmation[] {
  return [...state.fleet.givenConfirmations].map(([member, at]) => ({ member, agoMs: now - at }));
}

/** Sends a process the assignment; it answers with the epoch that it acts under. */
export function sendAssignment(state: EntryState, to: Member, now: number): Effect[] {
  const { assignment, peers } = state.fleet;
  const peer = peers.get(to.id);
  if (assignment.epoch === 0) return [];
  if (peer !== undefined) peer.assignmentSentAt = now;
  return [sendTo(to, { kind: 'assignmentTold', assignment })];
}

/** Sends the assignment to all members of this epoch and of the unsettled ones. */
export function broadcastAssignment(state: EntryState, now: number): Effect[] {
  return [...getKnownMembers(state).values()]
    .filter(({ id }) => !state.fleet.ended.has(id))
    .flatMap((member) => sendAssignment(state, member, now));
}

function isResendDue(state: EntryState, id: EntryVmId, now: number): boolean {
  const { assignment, ended, peers } = state.fleet;
  const peer = peers.get(id);
  if (peer === undefined || ended.has(id)) return false;
  return peer.ackedEpoch < assignment.epoch && now - peer.assignmentSentAt >= ASSIGNMENT_RESEND_MS;
}

/**
 * Sends the assignment again to processes that have not acknowledged it: to all if this process
 * coordinates the epoch, otherwise to those that block its own partitions.
 */
export function resendAssignment(state: EntryState, now: number): Effect[] {
  const { assignment, blockers, write } = state.fleet;
  const isCoordinator = write.managedEpoch === assignment.epoch && assignment.epoch > 0;
  const effects: Effect[] = [];
  for (const [id, member] of getKnownMembers(state)) {
    if ((isCoordinator || blockers.has(id)) && isResendDue(state, id, now)) {
      effects.push(...sendAssignment(state, member, now));
    }
  }
  return effects;
}

/** Applies the assignment and answers with the epoch that this process now acts under. */
export const handleAssignmentTold: MessageHandler<'assignmentTold'> = (
  state,
  from,
  message,
  context,
) => {
  const effects = applyAssignment(state, message.assignment, undefined, context);
  const peer = recordHeard(state, from, context.now);
  if (peer === undefined) return effects;
  const { epoch } = state.fleet.assignment;
  if (message.assignment.epoch < epoch) {
    effects.push(...sendAssignment(state, peer.member, context.now));
  }
  const confirmations = getRecentConfirmations(state, context.now);
  effects.push(sendTo(peer.member, { kind: 'assignmentHeard', epoch, confirmations }));
  return effects;
};

/** Records the epoch a process acts under and its recent confirmations of earlier epochs. */
export const handleAssignmentHeard: MessageHandler<'assignmentHeard'> = (
  state,
  from,
  message,
  context,
) => {
  const peer = recordHeard(state, from, context.now);
  if (peer === undefined) return [];
  peer.appliedEpoch = Math.max(peer.appliedEpoch, message.epoch);
  if (message.epoch > peer.ackedEpoch) {
    peer.ackedEpoch = message.epoch;
    for (const { member, agoMs } of message.confirmations) {
      peer.confirmations.set(member, context.now - agoMs);
    }
  }
  return updateGrants(state, context.now);
};

/** Adds a process that introduced itself to the peers, and sends it the assignment. */
export const handleHello: MessageHandler<'hello'> = (state, _from, message, context) => {
  addPeer(state, message.member, context.now);
  return [
    ...sendAssignment(state, message.member, context.now),
    ...updateGrants(state, context.now),
  ];
};

/** Introduces this process to another. */
export function sendHello(state: EntryState, to: Member, _context: Context): Effect {
  return sendTo(to, { kind: 'hello', member: state.settings.self });
}
