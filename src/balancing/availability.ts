import type { ServiceName } from '../core/model/index.js';
import { getLatestStartAt } from './admission.js';
import type { BalancerState } from './BalancerState.js';
import type { LocalAnswerReason } from './effects.js';
import { getPermitAvailableAt, isLimitExhausted } from './limits.js';
import type { PendingRequest } from './PendingRequest.js';
import type { TargetRecord } from './TargetRecord.js';
import { isDraining, isPaused } from './TargetRecord.js';

/** Targets of a service that operators and the targets themselves leave in use. */
function getTargetsInService(
  { targetsByService, zonesOut }: BalancerState,
  service: ServiceName,
): readonly TargetRecord[] {
  return (targetsByService.get(service) ?? []).filter(
    (record) => !isDraining(record) && !zonesOut.has(record.entry.zone),
  );
}

/**
 * Whether a target that is dead or paused now may be usable early enough for a request. For the end
 * of a pause a request waits only if it still meets its objective: until then its caller could have
 * tried again.
 * @param state - State of this entry VM.
 * @param pending - The request.
 * @param now - Monotonic milliseconds.
 */
export function hasRecoveringTarget(
  state: BalancerState,
  pending: PendingRequest,
  now: number,
): boolean {
  const { service, triedTargets, deadlineAt, route } = pending;
  const latestStartAt = getLatestStartAt(pending, state.workTimes.get(route));
  return getTargetsInService(state, service).some(
    (record) =>
      !triedTargets.has(record.entry.id) &&
      record.deadUntil < deadlineAt &&
      (!isPaused(record, now) || record.notices.pausedUntil <= latestStartAt) &&
      !isLimitExhausted(state, record, now),
  );
}

/**
 * Whether all targets of a service that are up are paused, so that a caller that retries at once is
 * refused again.
 * @param state - State of this entry VM.
 * @param service - The service.
 * @param now - Monotonic milliseconds.
 */
export function isServicePaused(state: BalancerState, service: ServiceName, now: number): boolean {
  const up = getTargetsInService(state, service).filter(({ deadUntil }) => deadUntil <= now);
  return up.length > 0 && up.every((record) => isPaused(record, now));
}

/**
 * Returns why a request has no usable target.
 * @param state - State of this entry VM.
 * @param pending - The request.
 * @param now - Monotonic milliseconds.
 */
export function getUnavailableReason(
  state: BalancerState,
  { service, triedTargets }: PendingRequest,
  now: number,
): Extract<LocalAnswerReason, 'limited' | 'paused' | 'noTarget'> {
  if (isServicePaused(state, service, now)) return 'paused';
  const untried = getTargetsInService(state, service).filter(
    (record) => record.deadUntil <= now && !triedTargets.has(record.entry.id),
  );
  if (untried.some((record) => !isPaused(record, now) && isLimitExhausted(state, record, now))) {
    return 'limited';
  }
  return untried.some((record) => isPaused(record, now)) ? 'paused' : 'noTarget';
}

/**
 * Returns when a target of a service can be sent a request again: at the end of the first pause, or
 * when the next permit can be requested; monotonic milliseconds.
 * @param state - State of this entry VM.
 * @param service - The service.
 * @param now - Monotonic milliseconds.
 */
export function getNextAvailableAt(
  state: BalancerState,
  service: ServiceName,
  now: number,
): number {
  const pauseEnds = getTargetsInService(state, service)
    .filter((record) => isPaused(record, now))
    .map(({ notices }) => notices.pausedUntil);
  const permitAt = getPermitAvailableAt(state, service, now);
  const times = permitAt > now ? [...pauseEnds, permitAt] : pauseEnds;
  return times.length === 0 ? now : Math.min(...times);
}
