import type { BalancerContext, BalancerState } from './BalancerState.js';
import {
  recordBrokenConnection,
  recordRunGone,
  recordRunAnswer,
  recordRequestAnswered,
} from './crashes.js';
import { getServiceCurve } from './BalancerState.js';
import type { BalancerEffect } from './effects.js';
import type { AttemptResult } from './events.js';
import type { PendingRequest, PendingAttempt } from './PendingRequest.js';
import { recordLimit } from './limits.js';
import { countOutcome } from './outcomes.js';
import { isPathSound, recordReached, recordUnreached } from './reachability.js';
import { DEAD_MAX_MS, DEAD_MIN_MS, MIN_FAILURE_STATUS, MAX_NORMAL_SLOWDOWN } from './settings.js';
import { recordStatements } from './statements.js';
import type { TargetRecord } from './TargetRecord.js';
import { recordOutcome, recordSlowness } from './TargetRecord.js';
import { isInRollout, recordVersionResult } from './versions.js';

/**
 * Marks a target that accepts no connection as dead until its backoff is over.
 * @param record - The target.
 * @param now - Monotonic milliseconds.
 */
export function markDead(record: TargetRecord, now: number): BalancerEffect[] {
  const forMs = Math.min(DEAD_MAX_MS, DEAD_MIN_MS * 2 ** record.deadCount);
  record.deadCount += 1;
  record.deadUntil = now + forMs;
  record.reading = undefined;
  return [
    {
      kind: 'log',
      event: 'target.dead',
      fields: {
        target: record.entry.id,
        service: record.entry.service,
        times: record.deadCount,
        forMs,
      },
    },
  ];
}

/**
 * Records that a request or a probe of a target was answered, whatever the answer was.
 * @param state - State of this entry VM.
 * @param record - The target.
 * @param isIdentified - Whether no other process at its address can have answered.
 * @param now - Monotonic milliseconds.
 */
export function recordTargetAnswer(
  state: BalancerState,
  record: TargetRecord,
  isIdentified: boolean,
  now: number,
): BalancerEffect[] {
  const reached = recordReached(state, record, now);
  return [...reached, ...recordRunAnswer(state, record, isIdentified, now)];
}

/**
 * Records that a target took no connection, or gave no answer to a probe.
 * @param state - State of this entry VM.
 * @param record - The target.
 * @param now - Monotonic milliseconds.
 */
export function recordTargetFailure(
  state: BalancerState,
  record: TargetRecord,
  now: number,
): BalancerEffect[] {
  return [...recordUnreached(state, record, now), ...recordRunGone(state, record, now)];
}

function roundToHundredths(value: number): number {
  return Number(value.toFixed(2));
}

/** Updates the estimates of the route's work time and of the service's slowdown under load. */
function learnDurations(
  state: BalancerState,
  { route, service }: PendingRequest,
  { load, expectedMs, workMs }: PendingAttempt,
  tookMs: number,
): BalancerEffect[] {
  const { occupied, slots, slowdown, isCold } = load;
  const isUsual = !isCold && slowdown <= MAX_NORMAL_SLOWDOWN;
  if (isUsual) state.workTimes.add(route, tookMs / Math.max(1, expectedMs), occupied > slots / 2);
  const curve = getServiceCurve(state, service);
  curve.recordAnswer(load, tookMs / Math.max(1, workMs));
  const changed = curve.takeChange();
  if (changed === undefined) return [];
  const fields = {
    service,
    levels: changed.levels.map(roundToHundredths),
    slowdownWeight: roundToHundredths(changed.slowdownWeight),
    coldSlowdown: roundToHundredths(changed.coldSlowdown),
    answers: changed.answers,
    route: route.name,
    workMs: Math.round(state.workTimes.get(route)),
  };
  return [{ kind: 'log', event: 'service.learnt', fields }];
}

/** Records what the head of an answer says about its target: load, limit and statements. */
function recordAnswerHead(
  state: BalancerState,
  target: TargetRecord,
  end: AttemptResult,
  now: number,
): BalancerEffect[] {
  if (end.kind === 'spoilt') return recordStatements(state, target, end, 'answer', now);
  if (end.kind !== 'answered' && end.kind !== 'rejected') return [];
  if (end.reading !== undefined) {
    target.reading = end.reading;
    target.sentSinceReading = 0;
  }
  return [
    ...recordStatements(state, target, end, 'answer', now),
    ...recordLimit(state, target, end.limit, now),
  ];
}

/** Records what the result of an attempt says about crashes of its target. */
function learnAboutCrashes(
  state: BalancerState,
  { fingerprint }: PendingRequest,
  target: TargetRecord,
  end: AttemptResult,
  context: BalancerContext,
): BalancerEffect[] {
  if (end.kind === 'broken') {
    const unreached = recordUnreached(state, target, context.now);
    return [...unreached, ...recordBrokenConnection(state, target, fingerprint, context)];
  }
  const isCompleted = end.kind === 'answered' && end.status < MIN_FAILURE_STATUS;
  const effects = recordTargetAnswer(state, target, isCompleted, context.now);
  // An error shows that the target fails, not that it can complete the request.
  if (!isCompleted) return effects;
  const answered = recordRequestAnswered(state, fingerprint, target, end.status, context.now);
  return [...effects, ...answered];
}

function isPauseRequested(end: AttemptResult): boolean {
  return 'pauseMs' in end && typeof end.pauseMs === 'number' && end.pauseMs > 0;
}

/**
 * Learns from the result of an attempt.
 * @param state - State of this entry VM.
 * @param pending - The request.
 * @param attempt - The attempt.
 * @param end - Result of the attempt.
 * @param context - Clock and random source.
 */
export function learnFromAttempt(
  state: BalancerState,
  pending: PendingRequest,
  attempt: PendingAttempt,
  end: AttemptResult,
  context: BalancerContext,
): BalancerEffect[] {
  const { target } = attempt;
  const { now } = context;
  if (end.kind === 'unsent' || end.kind === 'misdirected') {
    const failure = end.kind === 'unsent' ? recordTargetFailure(state, target, now) : [];
    return [...markDead(target, now), ...failure];
  }
  const effects = [
    ...learnAboutCrashes(state, pending, target, end, context),
    ...recordAnswerHead(state, target, end, now),
  ];
  const isSuccess = end.kind === 'answered' && end.status < MIN_FAILURE_STATUS;
  // The pause already keeps requests away; a raised score would do so after its end as well.
  if (!isPauseRequested(end)) recordOutcome(target, !isSuccess, now);
  effects.push(...countOutcome(state, attempt, end, isSuccess, now));
  const isAlreadyCounted = attempt.isOverdue || end.kind === 'rejected';
  const tookMs = now - attempt.sentAt;
  if (!isAlreadyCounted && (isSuccess || isPathSound(state, pending.service, attempt.sentAt))) {
    recordVersionResult(state, pending, attempt, isSuccess, tookMs);
  }
  if (!isSuccess) return effects;
  recordSlowness(target, tookMs / Math.max(1, attempt.expectedMs), now);
  return isInRollout(state, target)
    ? effects
    : [...effects, ...learnDurations(state, pending, attempt, tookMs)];
}
