import type { Context } from '../Context.js';
import type { Effect } from '../effects.js';
import type { EntryState } from '../EntryState.js';
import type { StoreClass, StoreOp, StoreResult } from '../model/index.js';
import { getStoreBudgetShare } from './getStoreBudgetShare.js';
import { CLASS_LIMITS, STORE_CLASSES } from './storeClasses.js';
import type { CallQueue, QueuedCall, StoreCall } from './StoreCallsState.js';
import type { TokenBucket } from './TokenBucket.js';
import { refillBucket } from './TokenBucket.js';

/** Raises the result of a call for the part of the core that requested it. */
export function resolveCall(call: StoreCall, result: StoreResult, sentAt: number): Effect {
  const { purpose, tag, op } = call;
  return { kind: 'raise', event: { kind: 'storeResolved', purpose, tag, op, result, sentAt } };
}

function isWrite(op: StoreOp): boolean {
  return op.op === 'put' || op.op === 'delete';
}

function getBucket(state: EntryState, op: StoreOp): TokenBucket {
  return isWrite(op) ? state.storeCalls.writes : state.storeCalls.reads;
}

/**
 * Returns the tokens that the bucket must hold before a call of a class is sent. All classes but
 * the lease leave one token: if another call took the last one, the lease might not be renewed in
 * time, and the holder's targets would get no requests.
 */
function getRequiredTokens(storeClass: StoreClass): number {
  return storeClass === 'lease' ? 1 : 2;
}

function canSend(state: EntryState, queue: CallQueue, next: QueuedCall, now: number): boolean {
  const { storeClass, op } = next.call;
  // After a failure, calls are sent one at a time until one succeeds.
  const maxOutstanding = queue.failures > 0 ? 1 : CLASS_LIMITS[storeClass].maxOutstanding;
  if (queue.outstanding >= maxOutstanding || now < queue.backoffUntil) return false;
  return getBucket(state, op).tokens >= getRequiredTokens(storeClass);
}

function send(state: EntryState, queue: CallQueue, next: QueuedCall, now: number): Effect {
  const { storeCalls } = state;
  const id = storeCalls.nextCallId;
  storeCalls.nextCallId += 1;
  getBucket(state, next.call.op).tokens -= 1;
  queue.outstanding += 1;
  storeCalls.outstanding.set(id, { call: next.call, sentAt: now });
  return { kind: 'callStore', call: id, op: next.call.op };
}

/**
 * Sends the queued calls that budget, backoff and class limits allow now, the most urgent class
 * first.
 * @param state - The process's state.
 * @param context - Current time and random source.
 */
export function sendWaitingCalls(state: EntryState, context: Context): Effect[] {
  const { settings, storeCalls } = state;
  const share = getStoreBudgetShare(state, context.now);
  refillBucket(storeCalls.writes, share * settings.storeWritesPerSecond, context.now);
  refillBucket(storeCalls.reads, share * settings.storeReadsPerSecond, context.now);
  const effects: Effect[] = [];
  for (const storeClass of STORE_CLASSES) {
    const queue = storeCalls.queues[storeClass];
    for (let [next] = queue.waiting; next !== undefined; [next] = queue.waiting) {
      if (!canSend(state, queue, next, context.now)) break;
      queue.waiting.shift();
      effects.push(send(state, queue, next, context.now));
    }
  }
  return effects;
}
