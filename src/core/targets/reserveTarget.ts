import { isZoneOut } from '../configuration/index.js';
import type { EntryState } from '../EntryState.js';
import { isConfigurationFresh } from '../fleet/index.js';
import type { RequestId, ServiceName } from '../model/index.js';
import { isUnavailable } from './getFreeSlots.js';
import type { LocalTarget } from './TargetsState.js';

function findReserved(
  records: readonly LocalTarget[],
  request: RequestId,
): LocalTarget | undefined {
  return records.find((record) => record.reservedFor === request);
}

/**
 * Reserves the target with the fewest outstanding requests for a request that is to run alone. Call
 * it again until the target is empty.
 * @param state - The process's state.
 * @param service - The service's name.
 * @param request - The request that is suspected of crashing targets.
 * @param now - Monotonic milliseconds.
 * @returns The reserved target if the request may be sent there now.
 */
export function reserveTarget(
  state: EntryState,
  service: ServiceName,
  request: RequestId,
  now: number,
): LocalTarget | undefined {
  if (!isConfigurationFresh(state, now)) return undefined;
  const records = state.targets.byService.get(service) ?? [];
  let record = findReserved(records, request);
  if (record === undefined) {
    const usable = records.filter(
      (each) =>
        each.reservedFor === undefined &&
        !isZoneOut(state, each.config.zone) &&
        !isUnavailable(state, each, now),
    );
    [record] = usable.sort((a, b) => a.outstanding.size - b.outstanding.size);
    if (record === undefined) return undefined;
    record.reservedFor = request;
  }
  const inherited = now < record.inheritedUntil ? record.inherited : 0;
  const isEmpty = record.outstanding.size + inherited === 0 && !record.probing;
  return isEmpty && !isUnavailable(state, record, now) ? record : undefined;
}

/**
 * Releases the reservation of a request, if it has one.
 * @param state - The process's state.
 * @param service - The service's name.
 * @param request - The request that it was made for.
 */
export function releaseReservation(
  state: EntryState,
  service: ServiceName,
  request: RequestId,
): void {
  const record = findReserved(state.targets.byService.get(service) ?? [], request);
  if (record !== undefined) record.reservedFor = undefined;
}
