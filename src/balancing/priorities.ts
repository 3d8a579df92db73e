import type { ServiceName } from '../core/model/index.js';
import {
  getRank,
  getServiceRanks,
  isOutsideReserve,
  ServiceAdmission,
  wouldHoldSlotLong,
} from '../admission/index.js';
import type { BalancerState } from './BalancerState.js';
import type { Candidate } from './candidates.js';
import type { PendingRequest } from './PendingRequest.js';

/**
 * Returns the decisions between more and less urgent requests of a service; undefined where the
 * configuration makes no difference between them.
 * @param state - State of this entry VM.
 * @param service - The service.
 * @param now - Monotonic milliseconds.
 */
export function getServiceAdmission(
  state: BalancerState,
  service: ServiceName,
  now: number,
): ServiceAdmission | undefined {
  const ranks = getServiceRanks(state.table, service);
  if (ranks === undefined) return undefined;
  let admission = state.admissions.get(service);
  if (admission?.ranks !== ranks) {
    const workByRank = ranks.priorities.map(() => 0);
    for (const route of ranks.routes) {
      workByRank[getRank(ranks, route.priority)] += state.workTimes.get(route);
    }
    admission = new ServiceAdmission(ranks, workByRank, now);
    state.admissions.set(service, admission);
  }
  return admission;
}

/**
 * Returns the rank of a request among those of its service; 0 is the most urgent.
 * @param admission - Decisions of its service.
 * @param pending - The request.
 */
export function getRequestRank({ ranks }: ServiceAdmission, { priority }: PendingRequest): number {
  return getRank(ranks, priority);
}

/** Counts a request that has arrived from a caller. */
export function recordPriorityArrival(
  state: BalancerState,
  pending: PendingRequest,
  now: number,
): void {
  const admission = getServiceAdmission(state, pending.service, now);
  if (admission === undefined) return;
  const workMs = state.workTimes.get(pending.route);
  admission.recordArrival(getRequestRank(admission, pending), workMs, now);
}

/**
 * Whether a request leaves enough slots of a target free for more urgent ones, and does not hold one
 * for long while other targets have normal speed.
 * @param state - State of this entry VM.
 * @param pending - The request.
 * @param candidate - The target, with its estimate.
 * @param hasNormalTarget - Whether a usable target was last read to have normal speed.
 * @param now - Monotonic milliseconds.
 */
export function isOpenToPriority(
  state: BalancerState,
  pending: PendingRequest,
  { record, estimate }: Pick<Candidate, 'record' | 'estimate'>,
  hasNormalTarget: boolean,
  now: number,
): boolean {
  const admission = getServiceAdmission(state, pending.service, now);
  if (admission === undefined) return true;
  const rank = getRequestRank(admission, pending);
  if (rank === 0) return true;
  const { bestOccupancy, load, expectedMs } = estimate;
  if (hasNormalTarget && wouldHoldSlotLong(expectedMs, state.workTimes.get(pending.route))) {
    return false;
  }
  const reserved = admission.getReservedSlots(rank, bestOccupancy);
  return isOutsideReserve(load.occupied, bestOccupancy, reserved, record.idHash);
}
