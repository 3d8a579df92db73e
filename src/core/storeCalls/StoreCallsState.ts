import type { StorePurpose } from '../events.js';
import type { CallId, StoreClass, StoreOp } from '../model/index.js';
import type { CoreSettings } from '../settings.js';
import type { TokenBucket } from './TokenBucket.js';
import { createTokenBucket } from './TokenBucket.js';

/** A store call that a part of the core requests. */
export interface StoreCall {
  readonly storeClass: StoreClass;
  readonly purpose: StorePurpose;
  readonly tag: string;
  readonly op: StoreOp;
}

/** A call that waits to be sent. */
export interface QueuedCall {
  readonly call: StoreCall;
  readonly queuedAt: number;
}

/** A call that was sent to the store and has no result yet. */
export interface SentCall {
  readonly call: StoreCall;
  readonly sentAt: number;
}

/** The calls of one class, with the backoff after recent failures. */
export interface CallQueue {
  waiting: QueuedCall[];
  outstanding: number;
  /** Consecutive failures. */
  failures: number;
  /** No call of the class is sent before this time; monotonic milliseconds. */
  backoffUntil: number;
}

/** Queued and outstanding store calls, and token buckets for this process's share of the budget. */
export interface StoreCallsState {
  nextCallId: CallId;
  readonly outstanding: Map<CallId, SentCall>;
  readonly queues: Readonly<Record<StoreClass, CallQueue>>;
  readonly writes: TokenBucket;
  readonly reads: TokenBucket;
}

function createQueue(): CallQueue {
  return { waiting: [], outstanding: 0, failures: 0, backoffUntil: Number.NEGATIVE_INFINITY };
}

/**
 * Creates the state of a process that has not called the store yet. Its buckets start empty:
 * otherwise a process that restarts repeatedly would spend a full bucket after each start.
 * @param _settings - The process's settings, with the fleet's store budget.
 * @param now - Monotonic milliseconds.
 */
export function createStoreCallsState(_settings: CoreSettings, now: number): StoreCallsState {
  return {
    nextCallId: 1,
    outstanding: new Map(),
    queues: {
      lease: createQueue(),
      request: createQueue(),
      configuration: createQueue(),
      status: createQueue(),
    },
    writes: createTokenBucket(now),
    reads: createTokenBucket(now),
  };
}
