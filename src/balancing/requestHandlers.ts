import { isServicePaused } from './availability.js';
import type { BalancerContext, BalancerState } from './BalancerState.js';
import { mayRetryAfterCrashes } from './crashes.js';
import { createPendingRequest } from './createPendingRequest.js';
import type { BalancerEffect } from './effects.js';
import { answerLocally, refuseOrFail, removeRequest, removeAttempt } from './endings.js';
import type { AttemptResult, AttemptEnded, CallerLeft, RequestArrived, WakeDue } from './events.js';
import { addEvidence, shortenId } from './evidence.js';
import { isHelpingAtLimit } from './forwarding.js';
import type { PendingRequest, PendingAttempt } from './PendingRequest.js';
import { learnFromAttempt } from './learning.js';
import { getNextWakeAt, placeRequest, placeWaitingRequests } from './placing.js';
import { recordPriorityArrival, recordPriorityEnd } from './priorities.js';
import { hasHeardSince } from './reachability.js';
import { findRoute, isRepeatable } from './routes.js';
import { authenticate } from '../organisations/index.js';
import { shouldHold, holdRequest } from './starting.js';
import type { RetryDecision } from './retries.js';
import { takeRetry } from './retries.js';
import { MIN_FAILURE_STATUS, SHUTDOWN_ACCEPT_MS } from './settings.js';
import { recordOutcome, recordSlowness } from './TargetRecord.js';
import { leaveTrial, recordVersionAnswer } from './versions.js';

function refuseAtOnce(
  event: RequestArrived,
  status: number,
  reason: 'notConfigured' | 'noRoute' | 'stopping' | 'unknownKey',
  retryAfterMs?: number,
): BalancerEffect[] {
  const { request, callerRequestId: id, host, path } = event;
  return [
    { kind: 'answer', request, status, reason, retryAfterMs },
    {
      kind: 'log',
      event: 'request.refused',
      fields: { id, status, reason, host, path, retryAfterMs },
    },
  ];
}

/** After how long a caller should retry at another entry VM, in milliseconds. */
const RETRY_ELSEWHERE_MS = 50;
/** After how long a caller should retry if no configuration is known yet, in milliseconds. */
const STARTUP_RETRY_MS = 300;

/** Refuses or holds a request that has arrived, or starts to place it. */
export function handleArrived(
  state: BalancerState,
  event: RequestArrived,
  context: BalancerContext,
): BalancerEffect[] {
  const { now } = context;
  const { table, shutdownStartedAt } = state;
  if (shutdownStartedAt !== undefined && now - shutdownStartedAt > SHUTDOWN_ACCEPT_MS) {
    return refuseAtOnce(event, 503, 'stopping', RETRY_ELSEWHERE_MS);
  }
  if (shouldHold(state, event, now)) return holdRequest(state, event);
  if (table === undefined) return refuseAtOnce(event, 503, 'notConfigured', STARTUP_RETRY_MS);
  const route = findRoute(table, event.host, event.path);
  if (route === undefined) return refuseAtOnce(event, 404, 'noRoute');
  const access = authenticate(state.keys, route, event.keyDigest);
  if (access.kind === 'unknown') return refuseAtOnce(event, 401, 'unknownKey');
  const pending = createPendingRequest(state, event, route, context, access.organisation);
  state.pendingRequests.set(pending.id, pending);
  // The VM that passed a request on has counted it.
  if (!pending.isForwarded) {
    state.retryBudget.recordRequest(pending.service, now);
    recordPriorityArrival(state, pending, now);
  }
  if (pending.isForwarded && isHelpingAtLimit(state)) {
    return refuseOrFail(state, pending, 'overloaded', context);
  }
  return placeRequest(state, pending, context);
}

/** Removes a held request whose caller has disconnected. */
function removeHeldRequest(
  state: BalancerState,
  { request, callerRequestId: id, arrivedAt }: RequestArrived,
  { now }: BalancerContext,
): BalancerEffect[] {
  state.heldRequests.delete(request);
  const fields = { id, tookMs: Math.round(now - arrivedAt), tried: [] };
  return [{ kind: 'log', event: 'request.callerLeft', fields }];
}

/** Stops all work for a caller that has disconnected. */
export function handleCallerLeft(
  state: BalancerState,
  event: CallerLeft,
  context: BalancerContext,
): BalancerEffect[] {
  const held = state.heldRequests.get(event.request);
  if (held !== undefined) return removeHeldRequest(state, held, context);
  const pending = state.pendingRequests.get(event.request);
  if (pending === undefined) return [];
  const { now } = context;
  const tookMs = Math.round(now - pending.arrivedAt);
  const tried = [...pending.triedTargets];
  return [
    ...removeRequest(state, pending, now),
    {
      kind: 'log',
      event: 'request.callerLeft',
      fields: { id: pending.callerRequestId, route: pending.route.name, tookMs, tried },
    },
  ];
}

/** Records why an attempt has not run at the target, if that is certain. */
function recordEvidence(
  pending: PendingRequest,
  { id, target: { entry }, sentAt }: PendingAttempt,
  { end, facts }: AttemptEnded,
  now: number,
): void {
  if (end.kind !== 'rejected' && end.kind !== 'misdirected' && end.kind !== 'unsent') return;
  const tookMs = Math.round(now - sentAt);
  const { id: target, bornAt } = entry;
  addEvidence(pending, { kind: end.kind, attempt: id, target, bornAt, tookMs, facts });
}

/** Whether an attempt with this result has certainly not run at the target. */
const HAS_NOT_RUN: Readonly<Record<AttemptResult['kind'], boolean>> = {
  answered: false,
  rejected: true,
  misdirected: true,
  unsent: true,
  broken: false,
  spoilt: false,
};

function deliverAnswer(
  state: BalancerState,
  pending: PendingRequest,
  attempt: PendingAttempt,
  status: number,
  now: number,
): BalancerEffect[] {
  const { id: request, route, arrivedAt, deadlineAt } = pending;
  return [
    { kind: 'deliver', request, attempt: attempt.id, deadlineAt },
    ...removeRequest(state, pending, now),
    ...recordPriorityEnd(state, pending, now <= pending.dueAt, now),
    {
      kind: 'log',
      event: 'request.answered',
      fields: {
        id: pending.callerRequestId,
        status,
        route: route.name,
        target: attempt.target.entry.id,
        tookMs: Math.round(now - arrivedAt),
        objectiveMs: route.objectiveMs,
        sinceFirstMs: pending.sinceFirstMs,
        targetMs: Math.round(now - attempt.sentAt),
        expectedMs: Math.round(attempt.expectedMs),
        sendings: pending.triedTargets.size,
        ...(pending.organisation === undefined ? {} : { organisation: pending.organisation }),
      },
    },
  ];
}

/** Decides whether a request whose attempt has failed is sent again. */
function decideRetry(
  state: BalancerState,
  pending: PendingRequest,
  end: AttemptResult,
  mayRetryAfterCrash: boolean,
  now: number,
): RetryDecision {
  // Nothing has arrived at a target yet.
  if (end.kind === 'unsent') return { isGranted: true, effects: [] };
  const { triedTargets, maxTargets } = pending;
  const mayRunAgain = HAS_NOT_RUN[end.kind] || isRepeatable(state.table, pending);
  if (!mayRetryAfterCrash || !mayRunAgain || triedTargets.size >= maxTargets) {
    return { isGranted: false, effects: [] };
  }
  return takeRetry(state, pending, 'retry', now);
}

/** Returns the reason to refuse a request that the target of this attempt has not run. */
function getRejectionReason(
  state: BalancerState,
  { service }: PendingRequest,
  end: AttemptResult,
  now: number,
): 'rejected' | 'rejectedWithRoom' | 'paused' {
  if (isServicePaused(state, service, now)) return 'paused';
  const reading = end.kind === 'rejected' ? end.reading : undefined;
  const hasRoom = reading !== undefined && reading.running < reading.slots;
  return hasRoom ? 'rejectedWithRoom' : 'rejected';
}

function isAwaitingAnswer({ attempts, forward }: PendingRequest): boolean {
  return attempts.size > 0 || forward !== undefined;
}

/** Fields that say why an answer was not accepted. */
function getSpoiltFields({ end, facts }: AttemptEnded): Readonly<Record<string, unknown>> {
  if (end.kind !== 'spoilt' || facts === undefined) return {};
  const { check, status, otherId } = facts;
  return { check, status, otherId: otherId === undefined ? undefined : shortenId(otherId) };
}

/** Delivers the answer of a completed attempt, sends the request again, or answers it locally. */
function endAttempt(
  state: BalancerState,
  event: AttemptEnded,
  context: BalancerContext,
): BalancerEffect[] {
  const { now } = context;
  const { end } = event;
  const attempt = state.pendingAttempts.get(event.attempt);
  const pending = attempt && state.pendingRequests.get(attempt.request);
  if (attempt === undefined || pending === undefined) return [];
  removeAttempt(state, attempt);
  const mayRetry = mayRetryAfterCrashes(state, pending, end.kind === 'broken', now);
  const effects = learnFromAttempt(state, pending, attempt, end, context);
  if (!HAS_NOT_RUN[end.kind]) pending.hasPossiblyRun = true;
  recordEvidence(pending, attempt, event, now);
  leaveTrial(state, pending, now);
  if (end.kind === 'unsent') pending.triedTargets.delete(attempt.target.entry.id);
  const isFailure = end.kind !== 'answered' || end.status >= MIN_FAILURE_STATUS;
  if (!isFailure) return [...effects, ...deliverAnswer(state, pending, attempt, end.status, now)];
  effects.push({
    kind: 'log',
    event: 'attempt.failed',
    fields: {
      id: pending.callerRequestId,
      attempt: event.attempt,
      target: attempt.target.entry.id,
      fingerprint: pending.fingerprint,
      end: end.kind,
      status: end.kind === 'answered' ? end.status : undefined,
      ...getSpoiltFields(event),
      tookMs: Math.round(now - attempt.sentAt),
    },
  });
  // Another open attempt may still bring the answer.
  if (isAwaitingAnswer(pending)) return effects;
  const retry = decideRetry(state, pending, end, mayRetry, now);
  effects.push(...retry.effects);
  if (retry.isGranted) {
    pending.nextRoundAt = now;
    return [...effects, ...placeRequest(state, pending, context)];
  }
  if (end.kind === 'answered') {
    return [...effects, ...deliverAnswer(state, pending, attempt, end.status, now)];
  }
  const reason = getRejectionReason(state, pending, end, now);
  return [...effects, ...refuseOrFail(state, pending, reason, context)];
}

/**
 * Handles the end of an attempt; the load in its answer may show free slots for waiting requests.
 */
export function handleAttemptEnded(
  state: BalancerState,
  event: AttemptEnded,
  context: BalancerContext,
): BalancerEffect[] {
  const service = state.pendingAttempts.get(event.attempt)?.target.entry.service;
  const effects = endAttempt(state, event, context);
  if (service === undefined || !('reading' in event.end)) return effects;
  return [...effects, ...placeWaitingRequests(state, service, context)];
}

function handleDeadline(
  state: BalancerState,
  pending: PendingRequest,
  context: BalancerContext,
): BalancerEffect[] {
  const isSent = isAwaitingAnswer(pending);
  for (const { target } of pending.attempts) recordOutcome(target, true, context.now);
  if (isSent || pending.hasPossiblyRun) return answerLocally(state, pending, 'timedOut', context);
  return answerLocally(state, pending, 'overloaded', context);
}

/**
 * Starts a hedge: a second attempt of an idempotent request whose first one takes too long.
 *
 * A target that hangs or has become slow shows this only by the time it takes. Without hedges,
 * requests miss their objective while other targets are idle.
 */
function startHedge(
  state: BalancerState,
  pending: PendingRequest,
  context: BalancerContext,
): BalancerEffect[] {
  const { triedTargets, maxTargets } = pending;
  const { now } = context;
  leaveTrial(state, pending, now);
  if (!isRepeatable(state.table, pending) || triedTargets.size >= maxTargets) return [];
  // A hedge of a request that crashes targets would crash a second one.
  if (!mayRetryAfterCrashes(state, pending, true, now)) return [];
  const { isGranted, effects } = takeRetry(state, pending, 'hedge', now);
  return isGranted ? [...effects, ...placeRequest(state, pending, context)] : [...effects];
}

/** Handles a wake-up: a round has ended, an attempt is overdue, or the deadline has passed. */
export function handleWake(
  state: BalancerState,
  event: WakeDue,
  context: BalancerContext,
): BalancerEffect[] {
  const { now } = context;
  const held = state.heldRequests.get(event.request);
  if (held !== undefined) {
    state.heldRequests.delete(event.request);
    return handleArrived(state, held, context);
  }
  const pending = state.pendingRequests.get(event.request);
  if (pending === undefined) return [];
  if (now >= pending.deadlineAt) return handleDeadline(state, pending, context);
  if (pending.attempts.size === 0) {
    if (pending.forward === undefined) return placeRequest(state, pending, context);
    return [{ kind: 'wake', request: pending.id, at: pending.deadlineAt }];
  }
  let hasNewOverdue = false;
  for (const attempt of pending.attempts) {
    if (attempt.isOverdue || now < attempt.overdueAt) continue;
    attempt.isOverdue = true;
    hasNewOverdue = true;
    // While nothing is heard from any target, the path may be at fault and not the version.
    if (hasHeardSince(state, pending.service, attempt.sentAt)) {
      recordVersionAnswer(state, pending, attempt, true);
    }
    recordSlowness(attempt.target, (now - attempt.sentAt) / Math.max(1, attempt.expectedMs), now);
  }
  const wake: BalancerEffect = { kind: 'wake', request: pending.id, at: getNextWakeAt(pending) };
  if (pending.attempts.size > 1 || !(hasNewOverdue || pending.round !== undefined)) return [wake];
  const effects = startHedge(state, pending, context);
  return effects.some(({ kind }) => kind === 'wake') ? effects : [...effects, wake];
}
