import type { Route } from './model.js';
import type { LoadSnapshot, ServiceCurve } from './ServiceCurve.js';
import {
  FAILURE_COST_OBJECTIVES,
  LATE_SLOT_SHARE,
  UNREPEATABLE_FAILURE_COST_OBJECTIVES,
} from './settings.js';
import type { TargetRecord } from './TargetRecord.js';
import { getScores } from './TargetRecord.js';

/** Kind of slot that one more request would get at a target. */
export type SlotKind =
  /** A slot up to the target's best occupancy. */
  | 'free'
  /** One of the last slots; occupying it lowers what the target completes in time. */
  | 'last'
  /** A place in the target's own queue. */
  | 'queued';

/** What to expect if one more request is sent to a target. */
export interface ResponseEstimate {
  /** Time to the answer by the target's load reading, in milliseconds. */
  readonly expectedMs: number;
  /** `expectedMs`, multiplied by how much slower the target has recently been than expected. */
  readonly adjustedMs: number;
  /** Estimated probability that the target fails the request, from 0 to 1. */
  readonly failures: number;
  /**
   * `adjustedMs` plus the expected cost of a failure; the measure by which targets are compared.
   */
  readonly costMs: number;
  readonly slot: SlotKind;
  /** Whether enough slots stay free for requests that can still meet their objective. */
  readonly hasSpareSlots: boolean;
  /** Slots that the target fills for such requests without completing less in time. */
  readonly bestOccupancy: number;
  /** Load that the estimate is based on. */
  readonly load: LoadSnapshot;
}

function getLoadSnapshot(record: TargetRecord, now: number): LoadSnapshot {
  const { reading, entry } = record;
  const slots = Math.max(1, reading?.slots ?? entry.slots);
  const occupied = (reading?.running ?? record.outstanding) + record.sentSinceReading + 1;
  return {
    occupied,
    slots,
    slowdown: reading?.slowdown ?? 1,
    isCold: record.coldUntil > now,
    queuedAhead: Math.max(0, occupied - slots) + (reading?.waiting ?? 0),
  };
}

/**
 * Estimates the response if one more request of a route is sent to a target.
 * @param record - The target; it has a reading.
 * @param route - The request's route.
 * @param workMs - Estimated work time of the route's requests, in milliseconds.
 * @param curve - What has been learnt about the service's targets.
 * @param now - Monotonic milliseconds.
 */
export function estimateResponse(
  record: TargetRecord,
  route: Route,
  workMs: number,
  curve: ServiceCurve,
  now: number,
): ResponseEstimate {
  const { reading } = record;
  const load = getLoadSnapshot(record, now);
  const { occupied, slots, slowdown, isCold, queuedAhead } = load;
  const bestOccupancy = curve.getBestOccupancy(slots, route.objectiveMs / workMs);
  const unqueuedSlot = occupied <= bestOccupancy ? 'free' : 'last';
  const slot = queuedAhead > 0 ? 'queued' : unqueuedSlot;
  const slowdownFactor = curve.getSlowdownFactor(slowdown) * (isCold ? curve.getColdFactor() : 1);
  const expectedMs =
    workMs * curve.getLoadFactor(occupied, slots) * (queuedAhead / slots + slowdownFactor);
  const { failures, slowness } = getScores(record, now);
  const unhealthyPenalty = reading !== undefined && !reading.isHealthy ? 0.5 : 0;
  const adjustedMs = expectedMs * Math.max(1, slowness);
  const costObjectives = route.isIdempotent
    ? FAILURE_COST_OBJECTIVES
    : UNREPEATABLE_FAILURE_COST_OBJECTIVES;
  const costs = failures * costObjectives + unhealthyPenalty * FAILURE_COST_OBJECTIVES;
  const failureMs = costs * route.objectiveMs;
  return {
    expectedMs,
    adjustedMs,
    failures,
    costMs: adjustedMs + failureMs,
    slot,
    hasSpareSlots: occupied <= Math.max(1, Math.floor(bestOccupancy * LATE_SLOT_SHARE)),
    bestOccupancy,
    load,
  };
}
