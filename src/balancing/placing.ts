import type { ServiceName } from '../core/model/index.js';
import { shouldGiveUp } from './admission.js';
import { getUnavailableReason, hasRecoveringTarget } from './availability.js';
import type { BalancerContext, BalancerState } from './BalancerState.js';
import { isRefusedForCrashes } from './crashes.js';
import type { Candidate } from './candidates.js';
import { findBestCandidate, getUsableTargets } from './candidates.js';
import type { BalancerEffect } from './effects.js';
import { answerLocally, endProbeRound, mayRun, refuseOrFail } from './endings.js';
import type { PendingRequest, ProbeRound, PendingAttempt } from './PendingRequest.js';
import { forwardRequest, hasHelper, isForwardable } from './forwarding.js';
import { usePermit } from './limits.js';
import { ensureQuota, getQuotaOverdueAt, hasQuota } from './quotas.js';
import { recordPrioritySent, sortWaiting } from './priorities.js';
import { getReachVerdict } from './reachability.js';
import { isRepeatable } from './routes.js';
import { startProbeRound, toDestination } from './probing.js';
import {
  HEDGE_DELAY_FACTOR,
  HEDGE_MAX_TIME_RATIO,
  HEDGE_MIN_DELAY_MS,
  PROBE_ROUND_TIMEOUT_MS,
  PROBE_TIMEOUT_MS,
  PREFERRED_ROUND_COUNT,
  OLD_READING_MAX_AGE_MS,
  ROUND_PAUSE_MS,
} from './settings.js';
import { getScores } from './TargetRecord.js';
import { leaveTrial } from './versions.js';

/** Minimum delay before the next round if the last one sent no probe, in milliseconds. */
const MIN_PAUSE_MS = 5;

/** Minimum time that a target is given, in milliseconds; with less, the answer arrives too late. */
const MIN_ALLOWED_MS = 10;

/**
 * Returns when a request must be checked again if no event arrives before; monotonic milliseconds.
 * @param pending - The request.
 */
export function getNextWakeAt(pending: PendingRequest): number {
  let at = Math.min(pending.deadlineAt, getQuotaOverdueAt(pending));
  for (const { overdueAt, isOverdue } of pending.attempts) {
    if (!isOverdue) at = Math.min(at, overdueAt);
  }
  return at;
}

/** Ends the search for a target for a request that may not be sent again. */
function endPlacing(
  state: BalancerState,
  pending: PendingRequest,
  context: BalancerContext,
): BalancerEffect[] {
  const isOpen = pending.attempts.size > 0 || pending.forward !== undefined;
  if (!isOpen) return answerLocally(state, pending, 'targetFailed', context);
  return [
    ...endProbeRound(state, pending, context.now),
    { kind: 'wake', request: pending.id, at: getNextWakeAt(pending) },
  ];
}

/** Sends a request to a target, and records the attempt. */
function sendAttempt(
  state: BalancerState,
  pending: PendingRequest,
  { record, estimate }: Candidate,
  context: BalancerContext,
): BalancerEffect[] {
  const { now } = context;
  // The configuration may have changed since it was decided that the request is sent again.
  if (mayRun(pending) && !isRepeatable(state.table, pending)) {
    return endPlacing(state, pending, context);
  }
  const limitPerSecond = usePermit(state, record, now);
  const permitReturns = endProbeRound(state, pending, now);
  const { id, service } = record.entry;
  const isCold = record.coldUntil > now;
  if (isCold) state.coldRate.take(id, state.services.get(service)?.coldRequestsPerSecond ?? 0, now);
  recordPrioritySent(state, pending, now);
  state.lastAttemptId += 1;
  const overdueMs = Math.max(HEDGE_MIN_DELAY_MS, estimate.expectedMs * HEDGE_DELAY_FACTOR);
  const attempt: PendingAttempt = {
    id: state.lastAttemptId,
    request: pending.id,
    target: record,
    sentAt: now,
    expectedMs: estimate.expectedMs,
    workMs: state.workTimes.get(pending.route),
    load: estimate.load,
    overdueAt: now + overdueMs,
    isOverdue: false,
  };
  state.pendingAttempts.set(attempt.id, attempt);
  pending.attempts.add(attempt);
  pending.triedTargets.add(id);
  pending.hasUnsentRetry = false;
  record.outstanding += 1;
  record.sentSinceReading += 1;
  const { reading } = record;
  return [
    ...permitReturns,
    {
      kind: 'sendAttempt',
      request: pending.id,
      attempt: attempt.id,
      to: toDestination(record),
      allowedMs: Math.max(1, Math.floor(pending.deadlineAt - now)),
      organisation: pending.organisation,
    },
    {
      kind: 'log',
      event: 'request.sent',
      fields: {
        id: pending.callerRequestId,
        attempt: attempt.id,
        target: id,
        expectedMs: Math.round(estimate.expectedMs),
        costMs: Math.round(estimate.costMs),
        running: reading?.running,
        waiting: reading?.waiting,
        slowdown: reading?.slowdown,
        readingAgeMs: reading === undefined ? undefined : Math.round(now - reading.at),
        isCold,
        limitPerSecond,
        allowedMs: Math.round(pending.deadlineAt - now),
        sinceFirstMs: pending.sinceFirstMs,
        failures: Number(getScores(record, now).failures.toFixed(2)),
        ...(pending.organisation === undefined ? {} : { organisation: pending.organisation }),
      },
    },
    { kind: 'wake', request: pending.id, at: getNextWakeAt(pending) },
  ];
}

/** Falls back to readings of up to `OLD_READING_MAX_AGE_MS` if no target has answered recently. */
function chooseFromOldReadings(
  state: BalancerState,
  pending: PendingRequest,
  context: BalancerContext,
): Candidate | undefined {
  const hasResponsiveTarget = getUsableTargets(state, pending, context.now).some(
    ({ reading }) => reading !== undefined && context.now - reading.at < PROBE_TIMEOUT_MS,
  );
  // If targets answer probes and none qualifies, they are full: sending anyway would overload them.
  if (hasResponsiveTarget) return undefined;
  return findBestCandidate(state, pending, context, OLD_READING_MAX_AGE_MS);
}

function isRoundOver(round: ProbeRound | undefined, now: number): boolean {
  if (round === undefined || round.awaitedTargets.size === 0) return true;
  return now >= round.startedAt + PROBE_ROUND_TIMEOUT_MS;
}

function chooseCandidate(
  state: BalancerState,
  pending: PendingRequest,
  context: BalancerContext,
  isRoundEnded: boolean,
): Candidate | undefined {
  const best = findBestCandidate(state, pending, context);
  if (best?.isGoodEnough === true) return best;
  // The first round probes only a few targets: its best one is taken only if it is good enough.
  if (pending.roundCount < 2 && pending.attempts.size === 0) return undefined;
  return isRoundEnded ? (best ?? chooseFromOldReadings(state, pending, context)) : undefined;
}

/**
 * Whether an attempt has enough time left; a hedge must also be expected back before the first one.
 */
function isWorthSending(pending: PendingRequest, best: Candidate, now: number): boolean {
  if (pending.deadlineAt - now < MIN_ALLOWED_MS) return false;
  const [first] = pending.attempts;
  if (first === undefined) return true;
  const remainingMs = Math.max(now - first.sentAt, first.expectedMs) * HEDGE_MAX_TIME_RATIO;
  return best.estimate.slot === 'free' && best.estimate.costMs < remainingMs;
}

/** Returns the pause before the next round, in milliseconds; the second round follows at once. */
function getPauseMs({ roundCount }: PendingRequest): number {
  return roundCount < PREFERRED_ROUND_COUNT ? 0 : ROUND_PAUSE_MS;
}

/** Places a request by the readings at hand without probing, or schedules the next round. */
function placeWithoutProbing(
  state: BalancerState,
  pending: PendingRequest,
  context: BalancerContext,
): BalancerEffect[] {
  const { now } = context;
  if (!hasQuota(pending)) {
    return [{ kind: 'wake', request: pending.id, at: getNextWakeAt(pending) }];
  }
  const best = chooseCandidate(state, pending, context, true);
  if (best !== undefined && isWorthSending(pending, best, now)) {
    return sendAttempt(state, pending, best, context);
  }
  const permitReturns = endProbeRound(state, pending, now);
  if (pending.attempts.size > 0) {
    return [...permitReturns, { kind: 'wake', request: pending.id, at: getNextWakeAt(pending) }];
  }
  pending.nextRoundAt = now + Math.max(MIN_PAUSE_MS, getPauseMs(pending));
  return [...permitReturns, { kind: 'wake', request: pending.id, at: pending.nextRoundAt }];
}

function startNextRound(
  state: BalancerState,
  pending: PendingRequest,
  context: BalancerContext,
): BalancerEffect[] {
  // A request that found no target within the preferred rounds leaves the trial of a new version.
  if (pending.roundCount >= PREFERRED_ROUND_COUNT) leaveTrial(state, pending, context.now);
  const usable = getUsableTargets(state, pending, context.now);
  if (pending.attempts.size > 0 && usable.length === 0) return [];
  const hasNoTarget = usable.length === 0 && !hasRecoveringTarget(state, pending, context.now);
  const hasOpenAttempt = pending.attempts.size > 0;
  if (
    !hasOpenAttempt &&
    (hasNoTarget || shouldGiveUp(pending, usable, state.workTimes.get(pending.route), context.now))
  ) {
    const reason = hasNoTarget ? getUnavailableReason(state, pending, context.now) : 'overloaded';
    return refuseOrFail(state, pending, reason, context);
  }
  const effects = startProbeRound(state, pending, usable, context);
  // The sampled targets have fresh readings or no slot in the probe budget: there is nothing to
  // await.
  const isNothingAwaited = pending.round?.awaitedTargets.size === 0;
  return isNothingAwaited ? [...effects, ...placeWithoutProbing(state, pending, context)] : effects;
}

/**
 * Places waiting requests after a target has reported its load, in an answer or a probe's result.
 *
 * In a burst the probe budget is used up, and each request starts a round only every 25 ms, so that
 * a slot which an answer frees would stay idle until then. The load report in the answer shows the
 * free slot without a probe. Requests are served newest first: all wait for the same slots, and the
 * newest one is the most likely to meet its objective. Served oldest first, each would be late in
 * turn. Where requests differ in priority, the more urgent ones come first.
 * @param state - State of this entry VM.
 * @param service - Service whose target has reported its load.
 * @param context - Clock and random source.
 */
export function placeWaitingRequests(
  state: BalancerState,
  service: ServiceName,
  context: BalancerContext,
): BalancerEffect[] {
  const { now } = context;
  const waiting = [...state.pendingRequests.values()].filter(
    (pending) =>
      pending.service === service &&
      pending.attempts.size === 0 &&
      pending.forward === undefined &&
      hasQuota(pending) &&
      pending.roundCount >= PREFERRED_ROUND_COUNT &&
      !isRefusedForCrashes(state, pending.fingerprint, now) &&
      // Probes in flight may find a better target shortly.
      pending.round === undefined &&
      now < pending.deadlineAt,
  );
  sortWaiting(state, service, waiting, now);
  return waiting.flatMap((pending) => {
    const best = findBestCandidate(state, pending, context);
    if (best === undefined || !isWorthSending(pending, best, now)) return [];
    return sendAttempt(state, pending, best, context);
  });
}

/**
 * Passes a request on to another VM if its service is out of reach.
 * @returns Undefined if a target of this VM has to be found.
 */
function placeOutOfReach(
  state: BalancerState,
  pending: PendingRequest,
  context: BalancerContext,
): BalancerEffect[] | undefined {
  if (pending.forward !== undefined) return [];
  const { now } = context;
  const verdict = getReachVerdict(state, pending.service, now);
  if (verdict === 'inReach') return undefined;
  const canForward = isForwardable(state, pending);
  if (verdict === 'inDoubt' && !(canForward && hasHelper(state, pending, now))) return undefined;
  const permitReturns = endProbeRound(state, pending, now);
  // The answer to an open attempt may still arrive.
  if (pending.attempts.size > 0 && !canForward) return permitReturns;
  return [...permitReturns, ...forwardRequest(state, pending, context)];
}

/** Probes targets for a request that waits for a permit, so that it is sent as soon as it has one. */
function probeWhileAsking(
  state: BalancerState,
  pending: PendingRequest,
  context: BalancerContext,
): BalancerEffect[] {
  if (pending.roundCount === 0) return startNextRound(state, pending, context);
  return [{ kind: 'wake', request: pending.id, at: getNextWakeAt(pending) }];
}

/**
 * Looks for a target for a request that has no open attempt, or for its hedge.
 * @param state - State of this entry VM.
 * @param pending - The request.
 * @param context - Clock and random source.
 */
export function placeRequest(
  state: BalancerState,
  pending: PendingRequest,
  context: BalancerContext,
): BalancerEffect[] {
  const { now } = context;
  if (pending.attempts.size === 0 && isRefusedForCrashes(state, pending.fingerprint, now)) {
    return refuseOrFail(state, pending, 'crashesTargets', context);
  }
  const elsewhere = placeOutOfReach(state, pending, context);
  if (elsewhere !== undefined) return elsewhere;
  if (!hasQuota(pending)) {
    const asked = ensureQuota(state, pending, context);
    if (!state.pendingRequests.has(pending.id)) return asked;
    if (!hasQuota(pending)) return [...asked, ...probeWhileAsking(state, pending, context)];
  }
  const { round } = pending;
  const hasRound = round !== undefined;
  const hasRoundEnded = isRoundOver(round, now);
  const best = chooseCandidate(state, pending, context, hasRound && hasRoundEnded);
  if (best !== undefined && isWorthSending(pending, best, now)) {
    return sendAttempt(state, pending, best, context);
  }
  if (!hasRoundEnded) return [];
  const permitReturns = endProbeRound(state, pending, now);
  if (hasRound) {
    if (pending.attempts.size > 0) {
      return [...permitReturns, { kind: 'wake', request: pending.id, at: getNextWakeAt(pending) }];
    }
    pending.nextRoundAt = now + getPauseMs(pending);
  }
  if (now < pending.nextRoundAt) {
    return [...permitReturns, { kind: 'wake', request: pending.id, at: pending.nextRoundAt }];
  }
  return [...permitReturns, ...startNextRound(state, pending, context)];
}
