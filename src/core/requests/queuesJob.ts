import type { Context } from '../Context.js';
import type { Effect } from '../effects.js';
import type { EntryState } from '../EntryState.js';
import type { ServiceName } from '../model/index.js';
import { getRetryAfterMs } from './capacity.js';
import { drainQueue } from './drainQueue.js';
import { reject } from './finish.js';
import { hedgeDelayed } from './hedges.js';
import type { ServiceTraffic } from './ServiceTraffic.js';
import { findRequestsToShed } from './standingQueue.js';

/** Rejects waiting requests whose deadline has passed. */
function rejectExpired(state: EntryState, traffic: ServiceTraffic, now: number): Effect[] {
  const effects: Effect[] = [];
  const expired = [...traffic.queue].filter((entry) => entry.deadlineAt <= now);
  for (const { request } of expired) {
    const record = state.requests.requests.get(request);
    if (record !== undefined) effects.push(...reject(state, record, 'deadline-passed'));
  }
  for (const record of [...traffic.alone]) {
    if (record.stage === 'waitingAlone' && record.deadlineAt <= now) {
      effects.push(...reject(state, record, 'deadline-passed'));
    }
  }
  return effects;
}

function shedStandingQueue(
  state: EntryState,
  service: ServiceName,
  traffic: ServiceTraffic,
  context: Context,
): Effect[] {
  const config = state.configuration.services.get(service);
  if (config === undefined) return [];
  const effects: Effect[] = [];
  for (const { request } of findRequestsToShed(traffic, config, context.now)) {
    const record = state.requests.requests.get(request);
    if (record === undefined) continue;
    const retryAfterMs = getRetryAfterMs(state, service, context.now, context.random());
    effects.push(...reject(state, record, 'queue-too-long', retryAfterMs));
  }
  return effects;
}

/**
 * Rejects expired requests, sheds standing queues, dispatches waiting requests and hedges delayed
 * ones. Services without open requests or peers that have queues are skipped.
 */
export function runQueuesJob(state: EntryState, context: Context): Effect[] {
  state.requests.lastEventAt = context.now;
  const effects: Effect[] = [];
  for (const [service, traffic] of state.requests.traffic) {
    if (traffic.openRequests === 0 && traffic.queuedPeers.size === 0) continue;
    if (traffic.queue.length > 0 || traffic.alone.length > 0) {
      effects.push(...rejectExpired(state, traffic, context.now));
    }
    effects.push(...shedStandingQueue(state, service, traffic, context));
    effects.push(...drainQueue(state, service, context));
    if (traffic.hedgeable.size > 0) effects.push(...hedgeDelayed(state, traffic, service, context));
  }
  return effects;
}
