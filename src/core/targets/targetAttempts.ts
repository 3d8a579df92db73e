import type { Context } from '../Context.js';
import type { Effect } from '../effects.js';
import type { EntryState } from '../EntryState.js';
import type { AttemptEnd, LoadReport } from '../events.js';
import type { AttemptId, TargetId } from '../model/index.js';
import { turnCold } from './coldStart.js';
import { clearFailures, recordErrorAnswer, recordFailure } from './failures.js';
import { getLatencies } from './latencies.js';
import { halveLimit, raiseLimit } from './limits.js';
import { applyLoadReport } from './loadReports.js';
import { updateReleasedTarget } from './updateReleasedTarget.js';
import { updateSlowScore, updateSlowFlag } from './slowness.js';
import type { LocalTarget } from './TargetsState.js';

/** Slow score from which a refusal means that the target is cold again. */
const COLD_SLOW_SCORE = 1.5;
/** Answers that took more than this many times the service's mean latency don't raise the limit. */
const MAX_GOOD_ANSWER_FACTOR = 8;

/** Longest pause, in milliseconds; a target that names a longer one by mistake is tried again. */
const MAX_PAUSE_MS = 3_600_000;

/** How the requests part classifies a target's answer. */
export type AnswerClass = 'answered' | 'refused' | 'error';

/** The head of a target's answer. */
export interface TargetAnswerHead {
  readonly answerClass: AnswerClass;
  /** The target's report about itself, if it sent one. */
  readonly load: LoadReport | undefined;
  /** After how many milliseconds the target wants the next request, if it told a time. */
  readonly retryAfterMs: number | undefined;
}

/**
 * Records an attempt as outstanding at a target, just before it is sent.
 * @param record - The target.
 * @param attempt - The attempt.
 * @param fingerprint - Fingerprint of the request, to identify crash suspects.
 * @param now - Monotonic milliseconds.
 */
export function recordAttemptStarted(
  record: LocalTarget,
  attempt: AttemptId,
  fingerprint: string,
  now: number,
): void {
  record.outstanding.set(attempt, {
    startedAt: now,
    fingerprint,
    answered: false,
    lost: false,
    recalled: false,
  });
  record.usedAt = now;
}

/** Applies the pause that a refusal asks for; a shorter one does not end a longer one. */
function applyPause(record: LocalTarget, retryAfterMs: number, now: number): void {
  const until = now + Math.min(MAX_PAUSE_MS, retryAfterMs);
  record.pausedUntil = Math.max(record.pausedUntil, until);
}

function applyRefusal(record: LocalTarget, now: number): Effect[] {
  recordErrorAnswer(record, now);
  if (record.slow || record.slowScore >= COLD_SLOW_SCORE) {
    return turnCold(record, 'shed-while-slow', now);
  }
  halveLimit(record);
  return [];
}

function applyGoodAnswer(state: EntryState, record: LocalTarget, tookMs: number): void {
  const latencies = getLatencies(state, record.config.service);
  clearFailures(record);
  updateSlowScore(record, latencies, tookMs);
  const meanMs = latencies.mean ?? tookMs;
  if (record.phase === 'warm' || !latencies.isReliable) latencies.add(tookMs);
  if (!record.slow && tookMs <= meanMs * MAX_GOOD_ANSWER_FACTOR) raiseLimit(record);
}

/**
 * Updates a target's limit, health and latencies when an answer begins.
 * @param state - The process's state.
 * @param target - Identity of the target.
 * @param attempt - The attempt that it answers.
 * @param head - The head of the answer.
 * @param context - Current time and random source.
 */
export function recordTargetAnswer(
  state: EntryState,
  target: TargetId,
  attempt: AttemptId,
  { answerClass, load, retryAfterMs = 0 }: TargetAnswerHead,
  context: Context,
): Effect[] {
  const record = state.targets.records.get(target);
  const outstanding = record?.outstanding.get(attempt);
  if (record === undefined || outstanding === undefined || outstanding.answered) return [];
  outstanding.answered = true;
  record.usedAt = context.now;
  const effects =
    load === undefined ? [] : applyLoadReport(record, load, outstanding.startedAt, context.now);
  if (answerClass === 'refused' && outstanding.startedAt >= record.bootSince) {
    applyPause(record, retryAfterMs, context.now);
  }
  if (outstanding.startedAt < Math.max(record.bootSince, record.coldSince)) return effects;
  if (answerClass === 'refused') effects.push(...applyRefusal(record, context.now));
  else if (answerClass === 'error') recordErrorAnswer(record, context.now);
  else applyGoodAnswer(state, record, context.now - outstanding.startedAt);
  return effects;
}

/** Marks a target and all its outstanding attempts as lost: its process or machine is gone. */
function applyTargetLoss(record: LocalTarget, now: number): Effect[] {
  for (const outstanding of record.outstanding.values()) outstanding.lost = true;
  record.bootSince = now;
  recordFailure(record, now);
  return turnCold(record, 'reset', now);
}

function applyConnectFailure(record: LocalTarget, now: number): Effect[] {
  recordFailure(record, now);
  return turnCold(record, 'unreachable', now);
}

/** Result of an ended attempt. */
export interface EndedAttempt {
  readonly effects: Effect[];
  /** Fingerprints that were outstanding at the target, if this end showed that it died. */
  readonly lostFingerprints: readonly string[];
}

const NO_ENDED_ATTEMPT: EndedAttempt = { effects: [], lostFingerprints: [] };

/**
 * Frees the slot of an ended attempt and updates its target by how it ended.
 * @param state - The process's state.
 * @param target - Identity of the target.
 * @param attempt - The attempt.
 * @param end - How it ended.
 * @param context - Current time and random source.
 */
export function recordAttemptEnded(
  state: EntryState,
  target: TargetId,
  attempt: AttemptId,
  end: AttemptEnd,
  context: Context,
): EndedAttempt {
  const record = state.targets.records.get(target);
  const outstanding = record?.outstanding.get(attempt);
  if (record === undefined || outstanding === undefined) return NO_ENDED_ATTEMPT;
  const { now } = context;
  const effects: Effect[] = [];
  let lostFingerprints: string[] = [];
  const isTargetLoss =
    (end === 'reset' || (end === 'cut' && !outstanding.answered)) && !outstanding.lost;
  if (isTargetLoss) {
    lostFingerprints = [...record.outstanding.values()].map((each) => each.fingerprint);
    effects.push(...applyTargetLoss(record, now));
  } else if (end === 'notSent' && outstanding.startedAt >= record.bootSince) {
    effects.push(...applyConnectFailure(record, now));
  } else if (end === 'timedOut' && !outstanding.answered) {
    updateSlowScore(
      record,
      getLatencies(state, record.config.service),
      now - outstanding.startedAt,
    );
    halveLimit(record);
  }
  record.outstanding.delete(attempt);
  if (record.alone === attempt) record.alone = undefined;
  if (record.slow) updateSlowFlag(record, getLatencies(state, record.config.service), now);
  effects.push(...updateReleasedTarget(state, record));
  return { effects, lostFingerprints };
}
