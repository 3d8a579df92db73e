import { hashText } from '../core/hash.js';
import type { RequestId } from '../core/model/index.js';
import type { LoadReading, TargetEntry } from './model.js';

/** Failures and slowness are forgotten by half in so long, in milliseconds. */
const FORGET_HALF_MS = 3_000;

/** Weight of one outcome in the moving averages. */
const FAILURE_WEIGHT = 0.25;
const SLOWNESS_WEIGHT = 0.3;

const SLOWNESS_LEAST = 0.7;
const SLOWNESS_MOST = 12;

/** What this entry VM knows of one target. */
export interface TargetRecord {
  entry: TargetEntry;
  /** Drawn from its id, the same at all entry VMs. */
  readonly commonRank: number;
  /** Left alone before this time, since its version is new; monotonic milliseconds. */
  heldUntil: number;
  reading: LoadReading | undefined;
  /** Own requests sent since the reading was taken. */
  sentSinceReading: number;
  /** Own requests that are there now. */
  outstanding: number;
  /** Until when it is cold; monotonic milliseconds. */
  coldUntil: number;
  /** No request is sent, and no probe, before this time: it took no connection. */
  deadUntil: number;
  /** Times in a row that it took no connection or answered no probe. */
  deadTimes: number;
  /** Moving average of failures, 0 to 1, as of `scoredAt`. */
  failures: number;
  /** How much longer it takes than its readings say, as of `scoredAt`; 1 is as expected. */
  slowness: number;
  scoredAt: number;
  /** When the probe that is out was sent; undefined if none is. */
  probeSentAt: number | undefined;
  /** Requests that wait for a probe of it, or for a permit to send to it. */
  readonly probeWaiters: Set<RequestId>;
}

/**
 * Makes the record of a target that nothing is known of yet.
 * @param entry - What the target registered.
 * @param now - Monotonic milliseconds.
 */
export function createTargetRecord(entry: TargetEntry, now: number): TargetRecord {
  return {
    entry,
    commonRank: hashText(entry.id),
    heldUntil: 0,
    reading: undefined,
    sentSinceReading: 0,
    outstanding: 0,
    coldUntil: entry.coldMs > 0 ? now + entry.coldMs : 0,
    deadUntil: 0,
    deadTimes: 0,
    failures: 0,
    slowness: 1,
    scoredAt: now,
    probeSentAt: undefined,
    probeWaiters: new Set(),
  };
}

function forget(record: TargetRecord, now: number): void {
  const kept = 0.5 ** (Math.max(0, now - record.scoredAt) / FORGET_HALF_MS);
  record.failures *= kept;
  record.slowness = 1 + (record.slowness - 1) * kept;
  record.scoredAt = now;
}

/**
 * Notes how a sending ended.
 * @param record - The target.
 * @param hasFailed - Whether the answer was of no use, or none came.
 * @param now - Monotonic milliseconds.
 */
export function noteOutcome(record: TargetRecord, hasFailed: boolean, now: number): void {
  forget(record, now);
  record.failures += FAILURE_WEIGHT * ((hasFailed ? 1 : 0) - record.failures);
}

/**
 * Notes how long an answer took, or is taking so far, against what was expected of it.
 * @param record - The target.
 * @param ratio - Time taken over time expected.
 * @param now - Monotonic milliseconds.
 */
export function noteSlowness(record: TargetRecord, ratio: number, now: number): void {
  forget(record, now);
  const bounded = Math.min(SLOWNESS_MOST, Math.max(SLOWNESS_LEAST, ratio));
  record.slowness += SLOWNESS_WEIGHT * (bounded - record.slowness);
}

/**
 * How a target's record stands now, with what is old forgotten.
 * @param record - The target.
 * @param now - Monotonic milliseconds.
 */
export function getScores(
  record: TargetRecord,
  now: number,
): { readonly failures: number; readonly slowness: number } {
  const kept = 0.5 ** (Math.max(0, now - record.scoredAt) / FORGET_HALF_MS);
  return { failures: record.failures * kept, slowness: 1 + (record.slowness - 1) * kept };
}
