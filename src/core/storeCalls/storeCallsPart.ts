import type { Context } from '../Context.js';
import type { Effect } from '../effects.js';
import type { EntryState } from '../EntryState.js';
import type { CorePart, EventOf } from '../Handler.js';
import type { CallId, StoreResult } from '../model/index.js';
import { resolveCall, sendWaitingCalls } from './sendWaitingCalls.js';
import { CLASS_LIMITS, STORE_CLASSES } from './storeClasses.js';
import type { CallQueue, SentCall } from './StoreCallsState.js';

/** Backoff unit, in milliseconds; the pause is this times two to the number of failures. */
const BASE_BACKOFF_MS = 50;

/**
 * Time without an answer, beyond a watch's own waiting time, after which a call resolves to
 * `unknown`, in milliseconds.
 */
const ANSWER_TIMEOUT_MS = 15_000;

function isFailure(result: StoreResult): boolean {
  return result.kind === 'throttled' || result.kind === 'unavailable' || result.kind === 'unknown';
}

/**
 * Updates a class's exponential backoff with the result of a call. The pause has random jitter: all
 * entry VMs see an outage end at the same moment, and without jitter they would call the store at
 * the same time and overload it again.
 */
function recordResult(
  queue: CallQueue,
  maxBackoffMs: number,
  result: StoreResult,
  context: Context,
): void {
  if (!isFailure(result)) {
    queue.failures = 0;
    return;
  }
  queue.failures += 1;
  const pauseMs = Math.min(maxBackoffMs, BASE_BACKOFF_MS * 2 ** Math.min(queue.failures, 10));
  const retryAfterMs =
    result.kind === 'throttled' ? Math.min(result.retryAfterMs, maxBackoffMs) : 0;
  const jitter = 0.5 + context.random() / 2;
  queue.backoffUntil = context.now + Math.max(retryAfterMs * 2, pauseMs) * jitter;
}

function completeCall(
  state: EntryState,
  id: CallId,
  sent: SentCall,
  result: StoreResult,
  context: Context,
): Effect[] {
  const { storeClass, op } = sent.call;
  state.storeCalls.outstanding.delete(id);
  const queue = state.storeCalls.queues[storeClass];
  queue.outstanding -= 1;
  recordResult(queue, CLASS_LIMITS[storeClass].maxBackoffMs, result, context);
  const labels = { class: storeClass, op: op.op, result: result.kind };
  return [
    { kind: 'count', metric: 'masticlink_store_calls_total', labels, by: 1 },
    resolveCall(sent.call, result, sent.sentAt),
  ];
}

function handleStoreAnswered(
  state: EntryState,
  event: EventOf<'storeAnswered'>,
  context: Context,
): Effect[] {
  const sent = state.storeCalls.outstanding.get(event.call);
  if (sent === undefined) return [];
  return [
    ...completeCall(state, event.call, sent, event.result, context),
    ...sendWaitingCalls(state, context),
  ];
}

function expireQueuedCalls(state: EntryState, now: number): Effect[] {
  const effects: Effect[] = [];
  for (const storeClass of STORE_CLASSES) {
    const queue = state.storeCalls.queues[storeClass];
    const oldest = now - CLASS_LIMITS[storeClass].maxWaitMs;
    const expired = queue.waiting.filter(({ queuedAt }) => queuedAt < oldest);
    if (expired.length === 0) continue;
    queue.waiting = queue.waiting.filter(({ queuedAt }) => queuedAt >= oldest);
    for (const { call } of expired) effects.push(resolveCall(call, { kind: 'unavailable' }, now));
  }
  return effects;
}

/**
 * Resolves calls that the store adapter never answered. The adapter resolves each call to `unknown`
 * at its own timeout. If it missed one, that call would occupy one of its class's outstanding slots
 * for ever, until the class could send no call at all.
 */
function timeOutLostCalls(state: EntryState, context: Context): Effect[] {
  const effects: Effect[] = [];
  for (const [id, sent] of state.storeCalls.outstanding) {
    const waitMs = sent.call.op.op === 'watch' ? sent.call.op.waitMs : 0;
    if (context.now - sent.sentAt < waitMs + ANSWER_TIMEOUT_MS) continue;
    effects.push(...completeCall(state, id, sent, { kind: 'unknown' }, context));
  }
  return effects;
}

function runQueue(state: EntryState, context: Context): Effect[] {
  return [
    ...timeOutLostCalls(state, context),
    ...expireQueuedCalls(state, context.now),
    ...sendWaitingCalls(state, context),
  ];
}

/** Rate limits, prioritises and tracks all calls to the platform's store. */
export const storeCallsPart: CorePart = {
  handlers: { storeAnswered: handleStoreAnswered },
  messages: {},
  jobs: { storeQueue: runQueue },
};
