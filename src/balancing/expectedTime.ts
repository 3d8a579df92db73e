import type { Route } from './model.js';
import type { SendingBasis, ServiceCurve } from './ServiceCurve.js';
import { FAILURE_COST_OBJECTIVES, LATE_SLOT_SHARE } from './settings.js';
import type { TargetRecord } from './TargetRecord.js';
import { getScores } from './TargetRecord.js';

/** Where one more request would stand at a target. */
export type Place =
  /** On a slot with which the target gets more done than without. */
  | 'free'
  /** On one of the last slots, with which it gets less done. */
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
  /** What it rests on. */
  readonly basis: SendingBasis;
}

function getBasis(record: TargetRecord, now: number): SendingBasis {
  const { reading, entry } = record;
  const slots = Math.max(1, reading?.slots ?? entry.slots);
  const busy = (reading?.running ?? record.outstanding) + record.sentSinceReading + 1;
  return {
    busy,
    slots,
    slowdown: reading?.slowdown ?? 1,
    isCold: record.coldUntil > now,
    ahead: Math.max(0, busy - slots) + (reading?.waiting ?? 0),
  };
}

/**
 * What one more request of a route would meet at a target.
 * @param record - The target; it has a reading.
 * @param route - The request's route.
 * @param workMs - Work that the route's requests are, in milliseconds.
 * @param curve - What is learnt of the service's targets.
 * @param now - Monotonic milliseconds.
 */
export function getExpectation(
  record: TargetRecord,
  route: Route,
  workMs: number,
  curve: ServiceCurve,
  now: number,
): Expectation {
  const { reading } = record;
  const basis = getBasis(record, now);
  const { busy, slots, slowdown, isCold, ahead } = basis;
  const bestBusy = curve.getBestBusy(slots, route.objectiveMs / workMs);
  const unqueued = busy <= bestBusy ? 'free' : 'last';
  const place = ahead > 0 ? 'queued' : unqueued;
  const factor = curve.getSlowFactor(slowdown) * (isCold ? curve.getColdFactor() : 1);
  const readMs = workMs * curve.getFactor(busy, slots) * (ahead / slots + factor);
  const { failures, slowness } = getScores(record, now);
  const unhealthy = reading !== undefined && !reading.isHealthy ? 0.5 : 0;
  const likelyMs = readMs * Math.max(1, slowness);
  const failureMs = (failures + unhealthy) * FAILURE_COST_OBJECTIVES * route.objectiveMs;
  return {
    readMs,
    likelyMs,
    costMs: likelyMs + failureMs,
    place,
    isRoomy: busy <= Math.max(1, Math.floor(bestBusy * LATE_SLOT_SHARE)),
    basis,
  };
}
