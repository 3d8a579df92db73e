import type { Context } from '../Context.js';
import type { Effect } from '../effects.js';
import type { EntryState } from '../EntryState.js';
import type { EventOf } from '../Handler.js';
import { recordAnsweredRequest } from '../protection/index.js';
import type { AnswerClass } from '../targets/index.js';
import { recordTargetAnswer } from '../targets/index.js';
import { recordPeerSpare, recordForwardRefused } from './peerEstimates.js';
import type { AttemptRecord } from './RequestsState.js';
import { getTraffic } from './ServiceTraffic.js';

/** Lowest status that counts as an error of the target itself. */
const FIRST_ERROR_STATUS = 500;

function classifyStatus(attempt: AttemptRecord, status: number): AnswerClass {
  if (attempt.owner.service.repeat.refusedStatuses.includes(status)) return 'refused';
  return status >= FIRST_ERROR_STATUS ? 'error' : 'answered';
}

/** Updates the target's record by its answer and tells whether the target refused the request. */
function processTargetAnswer(
  state: EntryState,
  attempt: AttemptRecord,
  event: EventOf<'attemptAnswered'>,
  context: Context,
): { readonly effects: Effect[]; readonly isRefused: boolean } {
  if (attempt.to.kind !== 'target') return { effects: [], isRefused: false };
  const answerClass = classifyStatus(attempt, event.status);
  const { target } = attempt.to;
  const effects = recordTargetAnswer(
    state,
    target,
    event.attempt,
    { answerClass, load: event.load, retryAfterMs: event.retryAfterMs },
    context,
  );
  if (answerClass === 'answered') {
    const { service, fingerprint } = attempt.owner.arrived;
    effects.push(...recordAnsweredRequest(state, service, fingerprint, context));
  }
  return { effects, isRefused: answerClass === 'refused' };
}

/** Updates the peer's estimate by its answer; true if the request certainly did not run there. */
function processPeerAnswer(
  state: EntryState,
  attempt: AttemptRecord,
  event: EventOf<'attemptAnswered'>,
  now: number,
): boolean {
  if (attempt.to.kind !== 'peer') return false;
  const { peer } = attempt.to;
  const { service } = attempt.owner.arrived;
  const isRefused = event.ownOutcome === 'not-run';
  if (event.spare !== undefined) recordPeerSpare(state, peer, event.spare, now);
  if (isRefused) {
    attempt.owner.peerRetryAfterMs = event.retryAfterMs;
    recordForwardRefused(state, service, peer, now);
  }
  return isRefused;
}

/** Relays the first usable answer to the caller and cancels the request's other attempts. */
function relayAnswer(state: EntryState, attempt: AttemptRecord, id: number): Effect[] {
  const { owner } = attempt;
  owner.relayedAttempt = id;
  owner.stage = 'relaying';
  getTraffic(state, owner.service.name).hedgeable.delete(owner.id);
  const effects: Effect[] = [{ kind: 'relayAnswer', request: owner.id, attempt: id }];
  if (owner.isHedged) {
    const won = String(owner.attempts.size > 1 && Math.max(...owner.attempts) === id);
    const labels = { service: owner.service.name, won };
    effects.push({ kind: 'count', metric: 'masticlink_hedges_total', labels, by: 1 });
  }
  for (const other of owner.attempts) {
    if (other === id) continue;
    const otherAttempt = state.requests.attempts.get(other);
    if (otherAttempt !== undefined) otherAttempt.closedAs = 'dropped';
    effects.push({ kind: 'cancelAttempt', attempt: other });
  }
  return effects;
}

/** Handles the head of an answer; late or repeated ones have no effect on the request. */
export function handleAttemptAnswered(
  state: EntryState,
  event: EventOf<'attemptAnswered'>,
  context: Context,
): Effect[] {
  state.requests.lastEventAt = context.now;
  const attempt = state.requests.attempts.get(event.attempt);
  if (attempt === undefined || attempt.isAnswered) return [];
  attempt.isAnswered = true;
  const { owner } = attempt;
  const { effects, isRefused } = processTargetAnswer(state, attempt, event, context);
  const isRefusedByPeer = processPeerAnswer(state, attempt, event, context.now);
  if (attempt.closedAs !== undefined || owner.stage === 'closed') return effects;
  if (isRefused || isRefusedByPeer) {
    // Resent only when the attempt ends: that event tells whether the body can be replayed.
    attempt.closedAs = 'refused';
    owner.attempts.delete(event.attempt);
    if (isRefused) effects.push({ kind: 'cancelAttempt', attempt: event.attempt });
    return effects;
  }
  if (owner.relayedAttempt !== undefined) return effects;
  effects.push(...relayAnswer(state, attempt, event.attempt));
  return effects;
}
