import type { Context } from '../Context.js';
import type { Effect } from '../effects.js';
import type { EntryState } from '../EntryState.js';
import { getExpectedWaitMs, getRetryAfterMs } from './capacity.js';
import { reject } from './finish.js';
import type { RequestRecord } from './RequestsState.js';
import { getTraffic } from './ServiceTraffic.js';

/** Share of the estimated wait held against a deadline: peers may take part of the queue. */
const LOCAL_WAIT_FACTOR = 0.5;

/**
 * Makes room in a full queue by rejecting the last request of the caller that has the most waiting.
 * @returns The effects; undefined if no caller has at least two more requests waiting than this
 * request's caller.
 */
function evictFromBusiestCaller(
  state: EntryState,
  record: RequestRecord,
  context: Context,
): Effect[] | undefined {
  const { queue } = getTraffic(state, record.service.name);
  const last = queue.findLastOfBusiestCaller();
  if (last === undefined) return undefined;
  if (queue.count(last.caller) <= queue.count(record.arrived.caller) + 1) return undefined;
  const evicted = state.requests.requests.get(last.request);
  if (evicted === undefined) return undefined;
  const retryAfterMs = getRetryAfterMs(state, record.service.name, context.now, context.random());
  return reject(state, evicted, 'queue-too-long', retryAfterMs);
}

/**
 * Puts a request into its service's queue, or rejects it at once if the queue has no room for it or
 * it would probably not be served before its deadline.
 * @param state - The process's state.
 * @param record - The request.
 * @param context - Current time and random source.
 */
export function enqueue(state: EntryState, record: RequestRecord, context: Context): Effect[] {
  const { service, arrived } = record;
  const { queue } = getTraffic(state, service.name);
  const { now } = context;
  const waitMs = getExpectedWaitMs(state, service.name, now);
  const isDeadlineUnreachable =
    Number.isFinite(waitMs) && now + waitMs * LOCAL_WAIT_FACTOR >= record.deadlineAt;
  const isFull = queue.length >= service.queue.maxLength;
  const effects =
    isFull && !isDeadlineUnreachable ? evictFromBusiestCaller(state, record, context) : [];
  if (isDeadlineUnreachable || effects === undefined) {
    const retryAfterMs = getRetryAfterMs(state, service.name, now, context.random());
    return reject(state, record, 'queue-too-long', retryAfterMs);
  }
  record.stage = 'queued';
  queue.push({
    request: record.id,
    caller: arrived.caller,
    deadlineAt: record.deadlineAt,
    enqueuedAt: now,
    isForwardable: arrived.forwardedBy === undefined,
  });
  return effects;
}
