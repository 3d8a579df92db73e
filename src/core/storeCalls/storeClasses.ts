import type { StoreClass } from '../model/index.js';

/** Limits of one class of calls. */
export interface ClassLimits {
  /** Calls that may be queued; further calls resolve to `unavailable` at once. */
  readonly maxWaiting: number;
  /** How long a call may be queued, in milliseconds. */
  readonly maxWaitMs: number;
  /** Calls that may be in flight at once. */
  readonly maxOutstanding: number;
  /** Longest backoff after failures, in milliseconds. */
  readonly maxBackoffMs: number;
  /** True if calls resolve to `unavailable` at once, without queueing, during a backoff. */
  readonly failsFast: boolean;
}

/** All classes, the most urgent first. */
export const STORE_CLASSES: readonly StoreClass[] = ['lease', 'request', 'configuration', 'status'];

/** Limits by class. Each class has its own queue and backoff, so none delays a more urgent one. */
export const CLASS_LIMITS: Readonly<Record<StoreClass, ClassLimits>> = {
  lease: {
    maxWaiting: 32,
    maxWaitMs: 1_000,
    maxOutstanding: 4,
    maxBackoffMs: 400,
    failsFast: false,
  },
  request: {
    maxWaiting: 64,
    maxWaitMs: 400,
    maxOutstanding: 32,
    maxBackoffMs: 500,
    failsFast: true,
  },
  configuration: {
    maxWaiting: 64,
    maxWaitMs: 5_000,
    maxOutstanding: 12,
    maxBackoffMs: 1_000,
    failsFast: false,
  },
  status: {
    maxWaiting: 16,
    maxWaitMs: 5_000,
    maxOutstanding: 2,
    maxBackoffMs: 5_000,
    failsFast: true,
  },
};
