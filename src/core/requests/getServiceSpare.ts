import type { EntryState } from '../EntryState.js';
import type { ServiceName, ServiceSpare } from '../model/index.js';
import { getLocalCapacity } from './capacity.js';

/**
 * Free slots, queue length and limit of a service at this entry VM, as reported to peers in
 * heartbeats and in answers to forwards. A slot whose answer has begun counts as free, because it
 * will be by the time a peer can use it.
 * @param state - The process's state.
 * @param service - The service's name.
 * @param now - Monotonic milliseconds; defaults to the time of the last event of a request.
 * @example
 * const { slots, queued } = getServiceSpare(state, 'horaires');
 */
export function getServiceSpare(
  state: EntryState,
  service: ServiceName,
  now = state.requests.lastEventAt,
): ServiceSpare {
  const { free, limit, answering } = getLocalCapacity(state, service, now);
  const queued = state.requests.traffic.get(service)?.queue.length ?? 0;
  return { service, slots: Math.max(0, free + answering - queued), queued, limit };
}
