import type { ServiceName } from '../core/model/index.js';
import type { PressureLevel, WaitingRequest } from '../admission/index.js';
import {
  compareWaiting,
  hasPriorities,
  isSlotOpen,
  ServiceAdmission,
  wouldHoldSlotLong,
} from '../admission/index.js';
import { getLatestStartAt } from './admission.js';
import type { BalancerState } from './BalancerState.js';
import type { Candidate } from './candidates.js';
import type { BalancerEffect } from './effects.js';
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
  if (!hasPriorities(state.table)) return undefined;
  let admission = state.admissions.get(service);
  if (admission === undefined) {
    // Routes that need no key mostly carry tests.
    const routes = (state.table?.routes ?? [])
      .filter((route) => route.isAuthExempt !== true)
      .filter(({ services }) => services.some((each) => each.service === service))
      .map((route) => ({ priority: route.priority, workMs: state.workTimes.get(route) }));
    admission = new ServiceAdmission(now, routes);
    state.admissions.set(service, admission);
  }
  return admission;
}

/**
 * Counts a request that has arrived from a caller. Requests of no organisation, whose routes need no
 * key, do not count as work that others have to give way to: they are mostly tests.
 */
export function recordPriorityArrival(
  state: BalancerState,
  pending: PendingRequest,
  now: number,
): void {
  const admission = getServiceAdmission(state, pending.service, now);
  if (admission === undefined || pending.organisation === undefined) return;
  const workMs = state.workTimes.get(pending.route);
  admission.recordArrival(pending.route.priority, workMs, now);
}

/**
 * Whether a request gives way to more urgent ones: only as long as it can wait for its own work time
 * and still be in time. One that has no time to spare would be lost in favour of requests that may find
 * a slot anyway.
 */
function givesWay(
  state: BalancerState,
  admission: ServiceAdmission,
  pending: PendingRequest,
  now: number,
): boolean {
  if (!admission.isLessUrgent(pending.route.priority)) return false;
  const workMs = state.workTimes.get(pending.route);
  return getLatestStartAt(pending, workMs) - now > workMs;
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
  const { priority } = pending.route;
  const { bestOccupancy, load, expectedMs } = estimate;
  const isPatient = givesWay(state, admission, pending, now);
  const wouldHoldLong = wouldHoldSlotLong(expectedMs, state.workTimes.get(pending.route));
  if (isPatient && hasNormalTarget && wouldHoldLong) return false;
  return isSlotOpen({
    occupied: load.occupied,
    bestOccupancy,
    reserved: isPatient ? admission.getReservedSlots(priority, bestOccupancy) : 0,
    guaranteed: admission.getGuaranteedSlots(priority, bestOccupancy, now),
    idHash: record.idHash,
  });
}

/**
 * Sorts requests that wait at this VM for slots of a service: the one to be sent first comes first.
 * @param state - State of this entry VM.
 * @param service - The service.
 * @param waiting - The requests; sorted in place.
 * @param now - Monotonic milliseconds.
 */
export function sortWaiting(
  state: BalancerState,
  service: ServiceName,
  waiting: PendingRequest[],
  now: number,
): void {
  const admission = getServiceAdmission(state, service, now);
  if (admission === undefined) {
    waiting.sort((a, b) => b.dueAt - a.dueAt);
    return;
  }
  const described = new Map<PendingRequest, WaitingRequest>();
  for (const pending of waiting) {
    described.set(pending, {
      urgency: pending.urgency,
      latestStartAt: getLatestStartAt(pending, state.workTimes.get(pending.route)),
      sentByOrganisation: admission.turns.getSent(pending.organisation, now),
    });
  }
  const describe = (pending: PendingRequest): WaitingRequest =>
    described.get(pending) as WaitingRequest;
  waiting.sort((a, b) => compareWaiting(describe(a), describe(b), now));
}

/** State of a service's admission, for metrics. */
export interface AdmissionFigures {
  readonly level: PressureLevel;
  /** Mean number of slots of each target with three useful ones that the least urgent leave free. */
  readonly reservedSlots: number;
}

/** Number of useful slots for which the reserve is stated. */
const STATED_OCCUPANCY = 3;

/**
 * Returns the state of admission by service; empty where requests do not differ in priority.
 * @param state - State of this entry VM.
 * @param now - Monotonic milliseconds.
 */
export function getAdmissionFigures(
  state: BalancerState,
  now: number,
): ReadonlyMap<ServiceName, AdmissionFigures> {
  const figures = new Map<ServiceName, AdmissionFigures>();
  for (const service of state.services.keys()) {
    const admission = getServiceAdmission(state, service, now);
    if (admission !== undefined) {
      figures.set(service, {
        level: admission.pressure.isRaised(now) ? 'raised' : 'normal',
        reservedSlots: admission.getReservedSlots(Number.POSITIVE_INFINITY, STATED_OCCUPANCY),
      });
    }
  }
  return figures;
}

/** Counts a request that was sent to a target for its organisation. */
export function recordPrioritySent(
  state: BalancerState,
  { service, organisation }: PendingRequest,
  now: number,
): void {
  if (organisation === undefined) return;
  getServiceAdmission(state, service, now)?.turns.recordSent(organisation, now);
}

/**
 * Records how a request has ended; returns a line to log if the service's level has changed.
 * @param state - State of this entry VM.
 * @param pending - The request.
 * @param isInTime - Whether it was answered within its objective.
 * @param now - Monotonic milliseconds.
 */
export function recordPriorityEnd(
  state: BalancerState,
  { service }: PendingRequest,
  isInTime: boolean,
  now: number,
): BalancerEffect[] {
  const pressure = getServiceAdmission(state, service, now)?.pressure;
  if (pressure === undefined) return [];
  const before = pressure.takeChange(now);
  pressure.recordEnd(isInTime, now);
  const change = pressure.takeChange(now) ?? before;
  if (change === undefined) return [];
  const fields = {
    service,
    level: change.level,
    share: Number(change.share.toFixed(2)),
    requests: Number(change.requests.toFixed(1)),
    previousMs: Math.round(change.previousMs),
    configuration: state.table?.version,
  };
  return [{ kind: 'log', event: 'admission.level', fields }];
}

/**
 * Whether a request is held back because its service is under pressure and others are more urgent.
 * @param state - State of this entry VM.
 * @param pending - The request.
 * @param now - Monotonic milliseconds.
 */
export function isHeldBack(state: BalancerState, pending: PendingRequest, now: number): boolean {
  const admission = getServiceAdmission(state, pending.service, now);
  if (admission === undefined || !givesWay(state, admission, pending, now)) return false;
  return admission.pressure.isRaised(now);
}
