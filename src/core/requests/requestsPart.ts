import type { Context } from '../Context.js';
import type { Effect } from '../effects.js';
import type { EntryState } from '../EntryState.js';
import type { CorePart, EventOf } from '../Handler.js';
import type { EntryVmId, ServiceSpare } from '../model/index.js';
import { handleRequestArrived } from './arrival.js';
import { handleAttemptAnswered } from './attemptAnswered.js';
import { handleAttemptEnded } from './attemptEnded.js';
import { recordPeerSpare } from './peerEstimates.js';
import { drainQueue } from './drainQueue.js';
import { closeRequest } from './finish.js';
import { handleClaimResolved } from './keyClaims.js';
import { rejectOverdue } from './overdue.js';
import { runQueuesJob } from './queuesJob.js';
import { getTraffic } from './ServiceTraffic.js';
import { recordQueuedPeer, sendQueueLength } from './invitations.js';

function handleRequestCancelled(state: EntryState, event: EventOf<'requestCancelled'>): Effect[] {
  const record = state.requests.requests.get(event.request);
  return record === undefined ? [] : closeRequest(state, record);
}

/** Handles a peer's report on a service: uses its free slots, or records that it has a queue. */
function handleSpare(
  state: EntryState,
  peer: EntryVmId,
  spare: ServiceSpare,
  isInvitation: boolean,
  context: Context,
): Effect[] {
  if (!state.configuration.services.has(spare.service)) return [];
  state.requests.lastEventAt = context.now;
  recordPeerSpare(state, peer, spare, context.now);
  const traffic = getTraffic(state, spare.service);
  if (spare.queued > 0) recordQueuedPeer(traffic, peer, spare.queued, context.now);
  if (traffic.queue.length === 0 && traffic.queuedPeers.size === 0) return [];
  const effects = drainQueue(state, spare.service, context);
  if (isInvitation && traffic.queue.length > 0) {
    effects.push(...sendQueueLength(state, spare.service, peer, context.now));
  }
  return effects;
}

/** Handles requests from their arrival to their answer. */
export const requestsPart: CorePart = {
  handlers: {
    requestArrived: handleRequestArrived,
    keyClaimResolved: handleClaimResolved,
    attemptAnswered: handleAttemptAnswered,
    attemptEnded: handleAttemptEnded,
    requestCancelled: handleRequestCancelled,
    spareHeard: (state, event, context) =>
      handleSpare(state, event.peer, event.spare, false, context),
  },
  messages: {
    spare: (state, from, message, context) =>
      handleSpare(state, from, message.spare, message.spare.slots > 0, context),
  },
  jobs: { queues: runQueuesJob, housekeeping: rejectOverdue },
};
