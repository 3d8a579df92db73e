import type { Route } from './model.js';
import {
  COLD_SLOWDOWN,
  FAILURE_COST_OBJECTIVES,
  KNEE_SHARE,
  KNEE_SLOWDOWN,
  SLOWDOWN_SPELL_MS,
  USUAL_SLOWDOWN,
} from './settings.js';
import type { TargetRecord } from './TargetRecord.js';
import { getScores } from './TargetRecord.js';

/** What one more request would meet at a target. */
export interface Expectation {
  /** Time to the answer by the target's own reading, in milliseconds. */
  readonly readMs: number;
  /** The same with what is learnt of the target, and what its failures cost the caller. */
  readonly costMs: number;
  /** Whether a slot is free for it. */
  readonly isFree: boolean;
  /** Requests that wait there already. */
  readonly waiting: number;
}

/**
 * Time that work takes if it begins now. A slowdown that was read holds for a while only: work that
 * outlasts the spell goes on at the usual speed.
 */
function getWorkMs(workMs: number, slowdown: number): number {
  const alone = workMs * slowdown;
  if (alone <= SLOWDOWN_SPELL_MS) return alone;
  return SLOWDOWN_SPELL_MS + (workMs - SLOWDOWN_SPELL_MS / slowdown) * USUAL_SLOWDOWN;
}

/**
 * What one more request of a route would meet at a target.
 * @param record - The target; it has a reading.
 * @param route - The request's route.
 * @param workMs - Work that the route's requests are, in milliseconds.
 * @param now - Monotonic milliseconds.
 */
export function getExpectation(
  record: TargetRecord,
  route: Route,
  workMs: number,
  now: number,
): Expectation {
  const { reading, entry } = record;
  const slots = Math.max(1, reading?.slots ?? entry.slots);
  const waiting = reading?.waiting ?? 0;
  const busy = (reading?.running ?? record.outstanding) + record.sentSinceReading + 1;
  const slowdown = reading?.slowdown ?? USUAL_SLOWDOWN;
  const knee = busy / slots > KNEE_SHARE ? KNEE_SLOWDOWN : 1;
  const cold = record.coldUntil > now ? COLD_SLOWDOWN : 1;
  const ahead = Math.max(0, busy - slots) + waiting;
  const waitMs = (ahead / slots) * workMs * USUAL_SLOWDOWN * knee;
  const readMs = waitMs + getWorkMs(workMs, slowdown) * knee * cold;
  const { failures, slowness } = getScores(record, now);
  const unhealthy = reading !== undefined && !reading.isHealthy ? 0.5 : 0;
  const failureMs = (failures + unhealthy) * FAILURE_COST_OBJECTIVES * route.objectiveMs;
  return {
    readMs,
    costMs: readMs * Math.max(1, slowness) + failureMs,
    isFree: ahead === 0,
    waiting: ahead,
  };
}
