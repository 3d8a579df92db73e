import { hashText } from '../core/hash.js';
import type { RequestId } from '../core/model/index.js';
import type { LoadReading, TargetRegistration } from './model.js';
import type { TargetNotices } from './TargetNotices.js';
import { createTargetNotices } from './TargetNotices.js';
import { TargetOutcomes } from './TargetOutcomes.js';

/** Half-life of the failure and slowness scores, in milliseconds. */
const SCORE_HALF_LIFE_MS = 3_000;

/** Weight of one outcome in the moving averages. */
const FAILURE_WEIGHT = 0.25;
const SLOWNESS_WEIGHT = 0.3;

const MIN_SLOWNESS = 0.7;
const MAX_SLOWNESS = 12;

/** What this entry VM knows about one target. */
export interface TargetRecord {
  entry: TargetRegistration;
  /** Hash of its id, the same at all entry VMs. */
  readonly idHash: number;
  readonly notices: TargetNotices;
  /** No request is sent before this time, since its version is new; monotonic milliseconds. */
  versionHeldUntil: number;
  reading: LoadReading | undefined;
  /**
   * When it last gave an answer that no other process at its address can have given; monotonic
   * milliseconds.
   */
  identifiedAt: number;
  /** Requests that this VM has sent since the reading was taken. */
  sentSinceReading: number;
  /** Requests of this VM that the target has not answered yet. */
  outstanding: number;
  /** When it stops being cold; monotonic milliseconds. */
  coldUntil: number;
  /**
   * No request or probe is sent before this time, since it was unreachable; monotonic milliseconds.
   */
  deadUntil: number;
  /** How often in a row it accepted no connection or did not answer a probe. */
  deadCount: number;
  /** Moving average of failures, 0 to 1, as of `scoresUpdatedAt`. */
  failures: number;
  /** Moving average of observed over expected time, as of `scoresUpdatedAt`; 1 is as expected. */
  slowness: number;
  scoresUpdatedAt: number;
  /** How attempts have ended, of this VM and of others. */
  readonly outcomes: TargetOutcomes;
  /** Whether it was last logged as failing. */
  isFailing: boolean;
  /** When the probe in flight was sent; undefined if there is none. */
  probeSentAt: number | undefined;
  /** Requests that wait for the probe's result, or for a permit to send to the target. */
  readonly probeWaiters: Set<RequestId>;
}

/**
 * Creates the record of a newly discovered target.
 * @param entry - What the target registered.
 * @param now - Monotonic milliseconds.
 * @param notices - What the target has asked for before, under an earlier registration.
 */
export function createTargetRecord(
  entry: TargetRegistration,
  now: number,
  notices: TargetNotices = createTargetNotices(),
): TargetRecord {
  return {
    entry,
    idHash: hashText(entry.id),
    notices,
    versionHeldUntil: 0,
    reading: undefined,
    identifiedAt: Number.NEGATIVE_INFINITY,
    sentSinceReading: 0,
    outstanding: 0,
    coldUntil: entry.coldMs > 0 ? now + entry.coldMs : 0,
    deadUntil: 0,
    deadCount: 0,
    failures: 0,
    slowness: 1,
    scoresUpdatedAt: now,
    outcomes: new TargetOutcomes(),
    isFailing: false,
    probeSentAt: undefined,
    probeWaiters: new Set(),
  };
}

/** Whether a target is shutting down, according to its registration or to its answers. */
export function isDraining({ entry, notices }: TargetRecord): boolean {
  return entry.isDraining || notices.hasAnnouncedDrain;
}

/**
 * Whether a target wants no requests from this VM now.
 * @param record - The target.
 * @param now - Monotonic milliseconds.
 */
export function isPaused({ notices }: TargetRecord, now: number): boolean {
  return notices.pausedUntil > now;
}

function decayScores(record: TargetRecord, now: number): void {
  const decay = 0.5 ** (Math.max(0, now - record.scoresUpdatedAt) / SCORE_HALF_LIFE_MS);
  record.failures *= decay;
  record.slowness = 1 + (record.slowness - 1) * decay;
  record.scoresUpdatedAt = now;
}

/**
 * Records the outcome of an attempt.
 * @param record - The target.
 * @param hasFailed - Whether there was no answer, or no usable one.
 * @param now - Monotonic milliseconds.
 */
export function recordOutcome(record: TargetRecord, hasFailed: boolean, now: number): void {
  decayScores(record, now);
  record.failures += FAILURE_WEIGHT * ((hasFailed ? 1 : 0) - record.failures);
}

/**
 * Records how long an answer took, or has taken so far, compared with the expected time.
 * @param record - The target.
 * @param ratio - Observed time as a multiple of the expected time.
 * @param now - Monotonic milliseconds.
 */
export function recordSlowness(record: TargetRecord, ratio: number, now: number): void {
  decayScores(record, now);
  const bounded = Math.min(MAX_SLOWNESS, Math.max(MIN_SLOWNESS, ratio));
  record.slowness += SLOWNESS_WEIGHT * (bounded - record.slowness);
}

/**
 * Returns a target's scores, decayed to the current time; the failures are the higher of this VM's
 * latest outcomes and the outcomes of all VMs.
 * @param record - The target.
 * @param now - Monotonic milliseconds.
 */
export function getScores(
  record: TargetRecord,
  now: number,
): { readonly failures: number; readonly slowness: number } {
  const decay = 0.5 ** (Math.max(0, now - record.scoresUpdatedAt) / SCORE_HALF_LIFE_MS);
  const failures = Math.max(record.failures * decay, record.outcomes.getFailureShare(now));
  return { failures, slowness: 1 + (record.slowness - 1) * decay };
}
