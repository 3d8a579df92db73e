import type { Route } from './model.js';
import {
  COLD_SLOWDOWN,
  FAILURE_COST_OBJECTIVES,
  KNEE_SHARE,
  KNEE_SLOWDOWN,
  LATE_SLOT_SHARE,
  SLOWDOWN_WEIGHT,
} from './settings.js';
import type { TargetRecord } from './TargetRecord.js';
import { getScores } from './TargetRecord.js';

/** Where one more request would stand at a target. */
export type Place =
  /** On a slot where work takes no longer than on an idle target. */
  | 'free'
  /** On one of the last slots, where work slows down. */
  | 'last'
  /** In the target's queue. */
  | 'queued';

/** What one more request would meet at a target. */
export interface Expectation {
  /** Time to the answer by the target's own reading, in milliseconds. */
  readonly readMs: number;
  /** The same with how slow the target turned out to be lately. */
  readonly likelyMs: number;
  /** The same with what its failures cost the caller. */
  readonly costMs: number;
  readonly place: Place;
  /** Whether the target leaves enough slots to those that can still meet their objective. */
  readonly isRoomy: boolean;
  /** Whether the target gets more done with its last slots filled than without. */
  readonly gainsByLast: boolean;
}

function getPlace(busy: number, waiting: number, slots: number): Place {
  if (busy > slots || waiting > 0) return 'queued';
  return busy / slots > KNEE_SHARE ? 'last' : 'free';
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
  const slowdown = 1 + ((reading?.slowdown ?? 1) - 1) * SLOWDOWN_WEIGHT;
  const place = getPlace(busy, waiting, slots);
  const knee = place === 'free' ? 1 : KNEE_SLOWDOWN;
  const cold = record.coldUntil > now ? COLD_SLOWDOWN : 1;
  const ahead = Math.max(0, busy - slots) + waiting;
  const readMs = workMs * knee * (ahead / slots + slowdown * cold);
  const { failures, slowness } = getScores(record, now);
  const unhealthy = reading !== undefined && !reading.isHealthy ? 0.5 : 0;
  const likelyMs = readMs * Math.max(1, slowness);
  const failureMs = (failures + unhealthy) * FAILURE_COST_OBJECTIVES * route.objectiveMs;
  const freeSlots = Math.max(1, Math.floor(slots * KNEE_SHARE));
  return {
    readMs,
    likelyMs,
    costMs: likelyMs + failureMs,
    place,
    isRoomy: busy <= Math.max(1, Math.floor(freeSlots * LATE_SLOT_SHARE)),
    gainsByLast: slots / KNEE_SLOWDOWN > freeSlots,
  };
}
