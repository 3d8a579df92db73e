import type { Context } from '../Context.js';
import type { Effect } from '../effects.js';
import type { EntryState } from '../EntryState.js';
import type { AttemptEnd } from '../events.js';
import type { EventOf } from '../Handler.js';
import { recordTargetCrash, tryTakeRetry } from '../protection/index.js';
import { recordAttemptEnded } from '../targets/index.js';
import { recordForwardEnded, recordPeerUnreachable } from './peerEstimates.js';
import { getRetryAfterMs } from './capacity.js';
import { dispatch, removeFromAloneQueue } from './dispatch.js';
import { drainQueue } from './drainQueue.js';
import { closeRequest, reportKeyEnd, reject } from './finish.js';
import type { AttemptRecord, RequestRecord } from './RequestsState.js';

/** A request that did not run is resent until it was sent to this many targets. */
const MAX_TARGETS = 4;
/** Times that one request may be resent because its target or peer was lost. */
const MAX_LOST_ATTEMPTS = 1;

type EndHandler = (
  state: EntryState,
  record: RequestRecord,
  event: EventOf<'attemptEnded'>,
  context: Context,
) => Effect[];

/** Counts a retry and dispatches the request again. */
function resend(
  state: EntryState,
  record: RequestRecord,
  reason: string,
  context: Context,
): Effect[] {
  removeFromAloneQueue(state, record);
  const labels = { service: record.service.name, reason };
  return [
    { kind: 'count', metric: 'masticlink_retries_total', labels, by: 1 },
    ...dispatch(state, record, context),
  ];
}

/** Resends a request that provably did not run, whether it is repeatable or not. */
function resendNotRun(
  state: EntryState,
  record: RequestRecord,
  event: EventOf<'attemptEnded'>,
  reason: string,
  context: Context,
): Effect[] {
  const isBarred = record.isResendBarred && !record.isRepeatable;
  const hasTargetsLeft = record.triedTargets.length < MAX_TARGETS;
  if (event.bodyReplayable && !isBarred && hasTargetsLeft) {
    return resend(state, record, reason, context);
  }
  const retryAfterMs = getRetryAfterMs(state, record.service.name, context.now, context.random());
  return reject(state, record, 'no-capacity', retryAfterMs);
}

/** Resends a request whose target or peer was lost if it is repeatable and in the retry budget. */
const resendAfterLoss: EndHandler = (state, record, event, context) => {
  const canRepeat =
    record.isRepeatable && event.bodyReplayable && record.lostAttempts < MAX_LOST_ATTEMPTS;
  if (canRepeat && context.now < record.deadlineAt && tryTakeRetry(state, record.service)) {
    record.lostAttempts += 1;
    return resend(state, record, event.end, context);
  }
  return reject(state, record, 'target-failed');
};

/** How each end of an attempt is handled if its answer was not relayed. */
const END_HANDLERS: Readonly<Record<AttemptEnd, EndHandler>> = {
  // Ended without the head of an answer, so nothing can be relayed: treated as lost.
  complete: resendAfterLoss,
  notSent: (state, record, event, context) =>
    resendNotRun(state, record, event, 'notSent', context),
  reset: resendAfterLoss,
  cut: resendAfterLoss,
  cancelled: (state, record) => reject(state, record, 'target-failed'),
  // A timer may fire slightly before the deadline; the caller's time still counts as used up.
  timedOut: (state, record) => reject(state, record, 'deadline-passed'),
};

/** Handles the end of the attempt whose answer was relayed. */
function finishRelayed(
  state: EntryState,
  record: RequestRecord,
  event: EventOf<'attemptEnded'>,
): Effect[] {
  if (event.end === 'complete') return closeRequest(state, record, event.stored);
  record.hasPossiblyRun = true;
  // Part of the answer may have been sent: only a broken connection shows that it is incomplete.
  return [{ kind: 'abortRequest', request: record.id }, ...closeRequest(state, record)];
}

function resolveAttemptEnd(
  state: EntryState,
  attempt: AttemptRecord,
  event: EventOf<'attemptEnded'>,
  context: Context,
): Effect[] {
  const record = attempt.owner;
  const isNotRun = attempt.closedAs === 'refused' || state.guards.notRunOnlyIfCertain(event.end);
  if (!isNotRun) record.hasPossiblyRun = true;
  if (attempt.closedAs !== 'refused' && !state.guards.noResendAfterByte(event.end)) {
    record.isResendBarred = true;
  }
  if (record.stage === 'closed') return reportKeyEnd(record, event.stored);
  if (record.relayedAttempt === event.attempt) return finishRelayed(state, record, event);
  const hasOtherAttempt = record.relayedAttempt !== undefined || record.attempts.size > 0;
  if (hasOtherAttempt || attempt.closedAs === 'dropped') return [];
  // Another attempt that ended first may have queued the request again: don't resend it twice.
  if (record.stage !== 'sent') return [];
  if (attempt.closedAs === 'refused') {
    return resendNotRun(state, record, event, 'refused', context);
  }
  const canResendUnrepeatable = !record.isRepeatable && !record.isResendBarred;
  if (canResendUnrepeatable) return resendNotRun(state, record, event, event.end, context);
  return END_HANDLERS[event.end](state, record, event, context);
}

/** Handles the end of an attempt: frees its slot, then closes, resends or rejects the request. */
export function handleAttemptEnded(
  state: EntryState,
  event: EventOf<'attemptEnded'>,
  context: Context,
): Effect[] {
  const { requests } = state;
  requests.lastEventAt = context.now;
  const attempt = requests.attempts.get(event.attempt);
  if (attempt === undefined) return [];
  requests.attempts.delete(event.attempt);
  const { owner, to } = attempt;
  owner.attempts.delete(event.attempt);
  const service = owner.service.name;
  const effects: Effect[] = [];
  if (to.kind === 'target') {
    const ended = recordAttemptEnded(state, to.target, event.attempt, event.end, context);
    effects.push(...ended.effects);
    if (ended.lostFingerprints.length > 0) {
      effects.push(
        ...recordTargetCrash(state, service, to.target, ended.lostFingerprints, context),
      );
    }
  } else {
    recordForwardEnded(state, service, to.peer);
    if (event.end === 'notSent' || event.end === 'reset') {
      recordPeerUnreachable(state, service, to.peer, context.now);
    }
  }
  effects.push(...resolveAttemptEnd(state, attempt, event, context));
  // The end freed a slot, or the peer's answer reported free slots: queued requests may use them.
  effects.push(...drainQueue(state, service, context));
  return effects;
}
