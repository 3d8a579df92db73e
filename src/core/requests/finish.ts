import type { Effect, ProblemCode } from '../effects.js';
import type { EntryState } from '../EntryState.js';
import type { LocalOutcome } from '../events.js';
import type { StoredAnswer } from '../model/index.js';
import { releaseReservation } from '../targets/index.js';
import { makeOwnAnswer } from './ownAnswers.js';
import type { RequestRecord } from './RequestsState.js';
import { getTraffic } from './ServiceTraffic.js';

/**
 * Whether a request ran: `not-run` only if that is certain. An open attempt may be running it now.
 * @param record - The request.
 */
export function getOutcome(record: RequestRecord): LocalOutcome {
  return record.hasPossiblyRun || record.attempts.size > 0 ? 'unknown' : 'not-run';
}

/**
 * Tells the keys part once how a request with a claimed key ended, after its last attempt ended.
 * @param record - The request.
 * @param stored - Its complete answer, if that was kept.
 */
export function reportKeyEnd(record: RequestRecord, stored?: StoredAnswer): Effect[] {
  if (!record.hasClaimedKey || record.attempts.size > 0) return [];
  record.hasClaimedKey = false;
  const end = stored ?? (getOutcome(record) === 'not-run' ? 'notRun' : 'unknown');
  return [{ kind: 'raise', event: { kind: 'keyedRequestEnded', request: record.id, end } }];
}

/** Removes a request from the queues and lists of its service and releases its reservation. */
function removeFromQueues(state: EntryState, record: RequestRecord): void {
  const { name } = record.service;
  const traffic = getTraffic(state, name);
  if (record.stage === 'queued') traffic.queue.remove(record.arrived.caller, record.id);
  const aloneIndex = traffic.alone.indexOf(record);
  if (aloneIndex >= 0) {
    traffic.alone.splice(aloneIndex, 1);
    releaseReservation(state, name, record.id);
  }
  traffic.hedgeable.delete(record.id);
}

/**
 * Closes a request, which gets no further answer, and cancels its open attempts.
 * @param state - The process's state.
 * @param record - The request.
 * @param stored - Its complete answer, if it had a key and the answer was kept.
 */
export function closeRequest(
  state: EntryState,
  record: RequestRecord,
  stored?: StoredAnswer,
): Effect[] {
  if (record.stage === 'closed') return [];
  removeFromQueues(state, record);
  record.stage = 'closed';
  getTraffic(state, record.service.name).openRequests -= 1;
  state.requests.requests.delete(record.id);
  const effects: Effect[] = [];
  for (const attempt of record.attempts) {
    const attemptRecord = state.requests.attempts.get(attempt);
    if (attemptRecord !== undefined) attemptRecord.closedAs = 'dropped';
    effects.push({ kind: 'cancelAttempt', attempt });
  }
  return [...effects, ...reportKeyEnd(record, stored)];
}

/**
 * Answers a request with a problem, which says whether the request ran, and closes it.
 * @param state - The process's state.
 * @param record - The request.
 * @param code - Code of the problem.
 * @param retryAfterMs - After how many milliseconds the caller may retry; left out if a retry is no
 * use.
 */
export function reject(
  state: EntryState,
  record: RequestRecord,
  code: ProblemCode,
  retryAfterMs?: number,
): Effect[] {
  if (record.stage === 'closed') return [];
  const answer = makeOwnAnswer(code, getOutcome(record), retryAfterMs);
  return [
    { kind: 'answerRequest', request: record.id, answer },
    {
      kind: 'count',
      metric: 'masticlink_requests_total',
      labels: { service: record.service.name, outcome: answer.outcome, code },
      by: 1,
    },
    ...closeRequest(state, record),
  ];
}
