import type { Context } from '../Context.js';
import type { Effect } from '../effects.js';
import type { EntryState } from '../EntryState.js';
import type { CorePart, EventOf, MessageHandler } from '../Handler.js';
import { applyHandover } from '../targets/index.js';
import { requestConfirmations, handleConfirmAnswered, handleConfirmAsked } from './confirmation.js';
import { removeSilentMembers, handleSendFailed, recordMissingVms } from './detection.js';
import { handleMemberLeaseResolved } from './fence.js';
import { raiseHandovers, updateGrants } from './grants.js';
import { handleHeartbeat, sendDueHeartbeats, sendHeartbeats } from './heartbeats.js';
import { handleLapsesTold, fenceSilentHolders } from './lapses.js';
import { activateLease, handleLeaseRead, handleLeaseWritten, maintainLease } from './lease.js';
import { handleMemberList, discoverPeers, maintainMembership } from './membership.js';
import { recordHeard, sendTo } from './peers.js';
import { continueStop, handleOwnLeaseDeleted, handleStopRequested } from './stop.js';
import { handleAssignmentHeard, handleAssignmentTold, handleHello } from './assignmentMessages.js';
import { handleAssignmentRead, handleAssignmentWritten } from './writeAssignment.js';

type StoreResolved = EventOf<'storeResolved'>;
type ResolvedHandler = (state: EntryState, event: StoreResolved, context: Context) => Effect[];

/** Handlers of store results, by the purpose of the call. */
const RESOLVED_HANDLERS: Partial<Record<StoreResolved['purpose'], ResolvedHandler>> = {
  leaseWrite: (state, event, context) => {
    const { version } = state.fleet.lease;
    const effects = handleLeaseWritten(state, event, context);
    // Tells the neighbours when the renewed lease ends. If this VM failed and they did not know of
    // its last renewal, they would have to wait for a whole lease from the time of detection.
    const isRenewed = state.fleet.lease.version !== version;
    return isRenewed ? [...effects, ...sendHeartbeats(state, context)] : effects;
  },
  leaseRead: handleLeaseRead,
  assignmentWrite: (state, event, context) => [
    ...handleAssignmentWritten(state, event, context),
    ...fenceSilentHolders(state, context),
  ],
  assignmentRead: (state, event, context) => {
    const effects = handleAssignmentRead(state, event, context);
    if (event.tag === 'lease') effects.push(...activateLease(state, event, context));
    return effects;
  },
  memberRead: (state, event, context) => [
    ...handleMemberLeaseResolved(state, event, context),
    ...removeSilentMembers(state, context),
    ...fenceSilentHolders(state, context),
  ],
  memberDelete: (state, event, context) => {
    const { kind } = event.result;
    if (event.tag === 'self') {
      const isDone = kind === 'written' || kind === 'conflict';
      return handleOwnLeaseDeleted(state, isDone, context);
    }
    return [
      ...handleMemberLeaseResolved(state, event, context),
      ...fenceSilentHolders(state, context),
    ];
  },
  memberList: handleMemberList,
};

/** Stores a hand-over until its partitions are granted, and raises it if they already are. */
const handleHandover: MessageHandler<'handover'> = (state, from, message, context) => {
  const { assignment, handovers } = state.fleet;
  const peer = recordHeard(state, from, context.now);
  if (peer !== undefined) peer.appliedEpoch = Math.max(peer.appliedEpoch, message.epoch);
  if (message.epoch < assignment.epoch || handovers.get(from)?.epoch === message.epoch) return [];
  handovers.set(from, { epoch: message.epoch, targets: message.targets });
  return [...updateGrants(state, context.now), ...raiseHandovers(state)];
};

/** Applies hand-overs to targets that this process has; the others stay pending. */
function handleHandoverReady(
  state: EntryState,
  event: EventOf<'handoverReady'>,
  context: Context,
): Effect[] {
  const { handovers } = state.fleet;
  const { records } = state.targets;
  const ready = event.targets.filter(({ target }) => records.has(target));
  const isReady = new Set(ready.map(({ target }) => target));
  for (const [from, { epoch, targets }] of handovers) {
    const remaining = targets.filter(({ target }) => !isReady.has(target));
    if (remaining.length < targets.length) handovers.set(from, { epoch, targets: remaining });
  }
  return ready.length === 0 ? [] : applyHandover(state, ready, context);
}

/** Sends hand-overs again, since a message may be lost. */
function resendHandovers(state: EntryState): Effect[] {
  const { outgoingHandovers } = state.fleet;
  const effects = outgoingHandovers.map(({ to, epoch, targets }) =>
    sendTo(to, { kind: 'handover', epoch, targets }),
  );
  for (const handover of outgoingHandovers) handover.sendsLeft -= 1;
  const remaining = outgoingHandovers.filter(({ sendsLeft }) => sendsLeft > 0);
  outgoingHandovers.splice(0, outgoingHandovers.length, ...remaining);
  return effects;
}

function runHeartbeatJob(state: EntryState, context: Context): Effect[] {
  if (state.fleet.hasExited) return [];
  return [
    ...resendHandovers(state),
    ...sendDueHeartbeats(state, context),
    ...removeSilentMembers(state, context),
    ...fenceSilentHolders(state, context),
  ];
}

/** Grants partitions soon after the leases that blocked them have expired. */
function updateBlockedGrants(state: EntryState, context: Context): Effect[] {
  return state.fleet.blockers.size === 0 ? [] : updateGrants(state, context.now);
}

/** Membership, leases, partition assignment and hand-over. */
export const fleetPart: CorePart = {
  handlers: {
    configurationAdopted: (state, _event, context) => updateGrants(state, context.now),
    handoverReady: handleHandoverReady,
    peerSendFailed: handleSendFailed,
    stopAsked: handleStopRequested,
    storeResolved: (state, event, context) =>
      RESOLVED_HANDLERS[event.purpose]?.(state, event, context) ?? [],
    vmListRead: recordMissingVms,
  },
  messages: {
    assignmentHeard: handleAssignmentHeard,
    assignmentTold: handleAssignmentTold,
    confirmAnswered: handleConfirmAnswered,
    confirmAsked: handleConfirmAsked,
    handover: handleHandover,
    heartbeat: handleHeartbeat,
    hello: handleHello,
    lapsesTold: handleLapsesTold,
  },
  jobs: {
    heartbeat: runHeartbeatJob,
    housekeeping: discoverPeers,
    lease: (state, context) => [
      ...maintainLease(state, context),
      ...requestConfirmations(state, context),
    ],
    membership: (state, context) => [
      ...maintainMembership(state, context),
      ...continueStop(state, context),
    ],
    targets: updateBlockedGrants,
  },
};
