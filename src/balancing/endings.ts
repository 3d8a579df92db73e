import { getLatestStartAt } from './admission.js';
import { getReturnMs } from '../admission/index.js';
import { getNextAvailableAt } from './availability.js';
import type { BalancerContext, BalancerState } from './BalancerState.js';
import type { BalancerEffect, LocalAnswerReason } from './effects.js';
import { getEvidenceFields, getEvidenceKinds } from './evidence.js';
import type { PendingRequest, PendingAttempt } from './PendingRequest.js';
import { returnPermits } from './limits.js';
import { getServiceAdmission, recordPriorityEnd } from './priorities.js';
import { getQuotaRetryMs, returnQuotaPermit } from './quotaPermits.js';

/**
 * Range of the time after which a refused caller should retry, as a share of the time it has left.
 * It is spread so that callers refused together do not return together. The maximum is a third of
 * the remaining time; below `FIRST_TIMEOUT_TOLERANCE` a retry would be taken for a first request.
 */
const RETRY_AFTER_MIN_SHARE = 0.2;
const RETRY_AFTER_MAX_SHARE = 0.33;

/**
 * Range of the time after which a caller should retry if a target with free slots has rejected its
 * request, in milliseconds. Some targets reject a share of their requests whatever their load is,
 * so waiting frees no slots, and a rejection takes no longer than the round trip. With a delay of a
 * fifth of its time the caller would certainly be late. The range is spread so that callers
 * rejected together do not return together.
 */
const EARLY_RETRY_MIN_MS = 5;
const EARLY_RETRY_MAX_MS = 30;

const STATUS_BY_REASON: Readonly<Record<LocalAnswerReason, number>> = {
  notConfigured: 503,
  noRoute: 404,
  stopping: 503,
  unknownKey: 401,
  overQuota: 429,
  noTarget: 503,
  limited: 503,
  paused: 503,
  crashesTargets: 503,
  overloaded: 503,
  rejected: 503,
  rejectedWithRoom: 503,
  targetFailed: 502,
  timedOut: 504,
};

/** Reasons that mean that the request has not run, so that its caller may safely retry. */
const REFUSAL_REASONS: ReadonlySet<LocalAnswerReason> = new Set([
  'notConfigured',
  'stopping',
  'unknownKey',
  'overQuota',
  'noTarget',
  'limited',
  'paused',
  'crashesTargets',
  'overloaded',
  'rejected',
  'rejectedWithRoom',
]);

/** Reasons that mean that targets had no capacity for the request. */
const CAPACITY_REASONS: ReadonlySet<LocalAnswerReason> = new Set(['overloaded', 'rejected']);

/** Reasons that mean that an answer did not arrive in time. */
const LATE_REASONS: ReadonlySet<LocalAnswerReason> = new Set(['timedOut']);

/**
 * Removes an attempt from the state.
 * @param state - State of this entry VM.
 * @param attempt - The attempt.
 */
export function removeAttempt(state: BalancerState, attempt: PendingAttempt): void {
  state.pendingAttempts.delete(attempt.id);
  state.pendingRequests.get(attempt.request)?.attempts.delete(attempt);
  attempt.target.outstanding -= 1;
}

/**
 * Records that a request is no longer passed on to another VM.
 * @param state - State of this entry VM.
 * @param pending - The request.
 */
export function removeForward(state: BalancerState, pending: PendingRequest): void {
  if (pending.forward === undefined) return;
  state.forwards.delete(pending.forward.id);
  state.helpers.recordEnd(pending.forward.vm);
  pending.forward = undefined;
}

/**
 * Cancels all open attempts of a request, also if it is passed on to another VM.
 * @param state - State of this entry VM.
 * @param pending - The request.
 */
export function cancelAttempts(state: BalancerState, pending: PendingRequest): BalancerEffect[] {
  const { forward } = pending;
  removeForward(state, pending);
  const cancelled = [...pending.attempts].map(({ id }) => id);
  for (const attempt of pending.attempts) removeAttempt(state, attempt);
  if (forward !== undefined) cancelled.push(forward.id);
  return cancelled.map((attempt) => ({ kind: 'cancelAttempt', attempt }));
}

/**
 * Returns after how long a refused caller should retry, in milliseconds.
 * @param remainingMs - Time that the caller has left, in milliseconds.
 * @param chance - Uniform in [0, 1).
 */
export function getRetryAfterMs(remainingMs: number, chance: number): number {
  const share = RETRY_AFTER_MIN_SHARE + (RETRY_AFTER_MAX_SHARE - RETRY_AFTER_MIN_SHARE) * chance;
  return Math.round(Math.max(0, remainingMs) * share);
}

/**
 * Chooses after how long the caller of a request that is refused now should retry, in milliseconds.
 */
function chooseRetryAfterMs(
  state: BalancerState,
  pending: PendingRequest,
  reason: LocalAnswerReason,
  { now, random }: BalancerContext,
): number {
  const earlyMs = EARLY_RETRY_MIN_MS + (EARLY_RETRY_MAX_MS - EARLY_RETRY_MIN_MS) * random();
  const canStillBeOnTime =
    now + earlyMs < getLatestStartAt(pending, state.workTimes.get(pending.route));
  if (reason === 'rejectedWithRoom' && canStillBeOnTime) return Math.round(earlyMs);
  const admission = getServiceAdmission(state, pending.service, now);
  if (admission !== undefined && CAPACITY_REASONS.has(reason) && admission.pressure.isRaised(now)) {
    return getReturnMs({
      isLessUrgent: admission.isLessUrgent(pending.route.priority),
      usefulMs: getLatestStartAt(pending, state.workTimes.get(pending.route)) - now,
      remainingMs: pending.callerTimeoutAt - now,
      chance: random(),
    });
  }
  const usualMs = getRetryAfterMs(pending.callerTimeoutAt - now, random());
  if (reason === 'overQuota') return getQuotaRetryMs(state, pending, now, random());
  if (reason === 'crashesTargets') {
    return Math.max(usualMs, Math.ceil(state.crashes.getRefusalMs(pending.fingerprint, now)));
  }
  if (reason !== 'limited' && reason !== 'paused') return usualMs;
  const unavailableMs = Math.ceil(getNextAvailableAt(state, pending.service, now) - now);
  if (reason === 'limited') return Math.max(usualMs, unavailableMs);
  // Callers that are refused during a pause must not all return at its end.
  return unavailableMs + Math.round(usualMs * random());
}

/**
 * Ends a request's probe round. Results that arrive later still update the targets' readings.
 * @param state - State of this entry VM.
 * @param pending - The request.
 * @param now - Monotonic milliseconds.
 */
export function endProbeRound(
  state: BalancerState,
  pending: PendingRequest,
  now: number,
): BalancerEffect[] {
  const { round } = pending;
  if (round === undefined) return [];
  for (const id of round.awaitedTargets) state.targets.get(id)?.probeWaiters.delete(pending.id);
  pending.round = undefined;
  return returnPermits(state, round.permitTargets, now);
}

function getSuspectFields(
  { crashes }: BalancerState,
  { fingerprint }: PendingRequest,
  now: number,
): Readonly<Record<string, unknown>> {
  const crashed = crashes.getCrashes(fingerprint, now).map(({ target }) => target);
  return { fingerprint, crashed };
}

/** Fields that are logged only where callers belong to organisations. */
function getOrganisationFields({
  organisation,
  priority,
}: PendingRequest): Readonly<Record<string, unknown>> {
  return organisation === undefined ? {} : { organisation, priority };
}

/** Fields that are logged only where requests differ in priority. */
function getPriorityFields(
  state: BalancerState,
  pending: PendingRequest,
  now: number,
): Readonly<Record<string, unknown>> {
  const admission = getServiceAdmission(state, pending.service, now);
  if (admission === undefined) return {};
  const usefulMs = getLatestStartAt(pending, state.workTimes.get(pending.route)) - now;
  return {
    priority: pending.priority,
    isLessUrgent: admission.isLessUrgent(pending.route.priority),
    isUnderPressure: admission.pressure.isRaised(now),
    usefulMs: Math.round(usefulMs),
  };
}

/**
 * Whether a target may have run a request, or may still run it.
 * @param pending - The request.
 */
export function mayRun({ hasPossiblyRun, attempts, forward }: PendingRequest): boolean {
  return hasPossiblyRun || attempts.size > 0 || forward !== undefined;
}

/**
 * Answers a request locally, without an answer from a target, and removes it. A refusal states that
 * the request has not run, so that one which may run fails instead.
 * @param state - State of this entry VM.
 * @param pending - The request.
 * @param wanted - Reason for the answer.
 * @param context - Clock and random source.
 */
export function answerLocally(
  state: BalancerState,
  pending: PendingRequest,
  wanted: LocalAnswerReason,
  context: BalancerContext,
): BalancerEffect[] {
  const reason = REFUSAL_REASONS.has(wanted) && mayRun(pending) ? 'targetFailed' : wanted;
  const permitReturns = [
    ...endProbeRound(state, pending, context.now),
    ...returnQuotaPermit(state, pending, context.now),
  ];
  const cancelled = cancelAttempts(state, pending);
  state.pendingRequests.delete(pending.id);
  const isRefusal = REFUSAL_REASONS.has(reason);
  const invitesRetry = isRefusal && reason !== 'unknownKey';
  const retryAfterMs = invitesRetry
    ? chooseRetryAfterMs(state, pending, reason, context)
    : undefined;
  const isLackOfCapacity = CAPACITY_REASONS.has(reason) || LATE_REASONS.has(reason);
  const levelChange = isLackOfCapacity ? recordPriorityEnd(state, pending, false, context.now) : [];
  const { id: request } = pending;
  const status = STATUS_BY_REASON[reason];
  return [
    ...permitReturns,
    ...cancelled,
    ...levelChange,
    { kind: 'answer', request, status, reason, retryAfterMs },
    {
      kind: 'log',
      event: isRefusal ? 'request.refused' : 'request.failed',
      fields: {
        id: pending.callerRequestId,
        status,
        reason,
        route: pending.route.name,
        service: pending.service,
        ...getOrganisationFields(pending),
        ...getPriorityFields(state, pending, context.now),
        tookMs: Math.round(context.now - pending.arrivedAt),
        objectiveMs: pending.route.objectiveMs,
        sinceFirstMs: pending.sinceFirstMs,
        rounds: pending.roundCount,
        configuration: state.table?.version,
        tried: [...pending.triedTargets],
        // Why it would have been refused if it had certainly not run.
        ...(reason === wanted ? {} : { insteadOf: wanted }),
        ...(isRefusal ? getEvidenceFields(pending) : {}),
        ...(reason === 'crashesTargets' ? getSuspectFields(state, pending, context.now) : {}),
        retryAfterMs,
      },
      ...(isRefusal && pending.evidenceCount > 0 ? { evidence: getEvidenceKinds(pending) } : {}),
    },
  ];
}

/**
 * Ends a request that finds no target: it is refused if it has certainly not run, else it fails.
 * @param state - State of this entry VM.
 * @param pending - The request.
 * @param reason - Reason for the refusal if the request has not run.
 * @param context - Clock and random source.
 */
export function refuseOrFail(
  state: BalancerState,
  pending: PendingRequest,
  reason: LocalAnswerReason,
  context: BalancerContext,
): BalancerEffect[] {
  // With `noTarget`, the VM that passed the request on would have it sent once more by another VM.
  const isSentForOther = pending.isForwarded && pending.triedTargets.size > 0;
  const own = reason === 'noTarget' && isSentForOther ? 'rejected' : reason;
  return answerLocally(state, pending, own, context);
}

/**
 * Removes a request whose caller has received its answer or has disconnected.
 * @param state - State of this entry VM.
 * @param pending - The request.
 * @param now - Monotonic milliseconds.
 */
export function removeRequest(
  state: BalancerState,
  pending: PendingRequest,
  now: number,
): BalancerEffect[] {
  const permitReturns = [
    ...endProbeRound(state, pending, now),
    ...returnQuotaPermit(state, pending, now),
  ];
  state.pendingRequests.delete(pending.id);
  return [...permitReturns, ...cancelAttempts(state, pending)];
}
