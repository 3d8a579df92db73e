import type { EntryState } from '../EntryState.js';
import type { TargetId } from '../model/index.js';
import type { LatencyDistribution } from './LatencyDistribution.js';
import { halveLimit } from './limits.js';
import type { LocalTarget } from './TargetsState.js';

/**
 * Log likelihood ratio from which a target counts as slow, and the amount that each of its slots
 * adds: the more requests are outstanding, the more of them are long by chance.
 */
const SLOW_THRESHOLD = 4;
const SLOW_THRESHOLD_PER_SLOT = 0.5;
/** Lower bound of the score, so that many normal answers don't hide a later slowdown. */
const MIN_SCORE = -2;
/** A slow target gets requests again at this evidence or less, with at most this score. */
const TRIAL_SCORE = 2;

function getSlowThreshold(record: LocalTarget): number {
  return SLOW_THRESHOLD + SLOW_THRESHOLD_PER_SLOT * record.service.capacity.slots;
}

/**
 * Updates whether a target counts as slow, from its score and the ages of its unanswered requests.
 *
 * A target that becomes five times slower answers nothing for a while. By the time its answers show
 * it, all of its slots are filled with requests that miss the service's objective. The ages of the
 * outstanding requests show it early, compared with the service's latency distribution: one long
 * request among quick ones is not enough, long requests in all slots are.
 * @param record - The target.
 * @param latencies - Latency distribution of the target's service.
 * @param now - Monotonic milliseconds.
 */
export function updateSlowFlag(
  record: LocalTarget,
  latencies: LatencyDistribution,
  now: number,
): void {
  let evidence = record.slowScore;
  let unanswered = 0;
  for (const attempt of record.outstanding.values()) {
    if (attempt.answered) continue;
    unanswered += 1;
    evidence += latencies.getAgeEvidence(now - attempt.startedAt);
  }
  if (evidence >= getSlowThreshold(record) && unanswered > 0) {
    if (record.slow) return;
    record.slow = true;
    halveLimit(record);
    return;
  }
  if (!record.slow) return;
  if (unanswered > 0 && evidence > TRIAL_SCORE) return;
  record.slow = false;
  if (unanswered === 0) record.limit = 1;
  record.goodAnswers = 0;
  if (record.phase === 'warm') record.phase = 'warming';
  record.slowScore = Math.min(record.slowScore, TRIAL_SCORE);
}

/**
 * Adds the evidence from an answer's latency to a target's slow score.
 * @param record - The target.
 * @param latencies - Latency distribution of the target's service.
 * @param ms - Time from sending to the answer's head, in milliseconds.
 */
export function updateSlowScore(
  record: LocalTarget,
  latencies: LatencyDistribution,
  ms: number,
): void {
  const score = record.slowScore + latencies.getAnswerEvidence(ms);
  record.slowScore = Math.max(MIN_SCORE, Math.min(getSlowThreshold(record), score));
}

/**
 * Whether a target that this process holds counts as slow now.
 * @param state - The process's state.
 * @param target - Identity of the target.
 */
export function isSlowTarget(state: EntryState, target: TargetId): boolean {
  return state.targets.records.get(target)?.slow === true;
}
