import type { EntryState } from '../EntryState.js';
import type { ServiceName } from '../model/index.js';
import { LatencyDistribution } from './LatencyDistribution.js';

/** Mean latency assumed for a service before the first answer, in milliseconds. */
const DEFAULT_MEAN_MS = 20;

/**
 * Returns the latency distribution of a service as observed by this process, empty on first use.
 * @param state - The process's state.
 * @param service - The service's name.
 */
export function getLatencies(state: EntryState, service: ServiceName): LatencyDistribution {
  let latencies = state.targets.latencies.get(service);
  if (latencies === undefined) {
    latencies = new LatencyDistribution();
    state.targets.latencies.set(service, latencies);
  }
  return latencies;
}

/**
 * Mean latency of a service's targets, in milliseconds; a default before the first answer.
 * @param state - The process's state.
 * @param service - The service's name.
 */
export function getMeanLatency(state: EntryState, service: ServiceName): number {
  return getLatencies(state, service).mean ?? DEFAULT_MEAN_MS;
}
