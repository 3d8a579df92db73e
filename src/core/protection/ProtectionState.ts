import { CrashLedger } from '../../crashes/index.js';
import type { ServiceName } from '../model/index.js';
import { LEDGER_OPTIONS } from './suspects.js';

/** Tokens for retries and hedges of a service; each request adds a fraction of a token to both. */
export interface RetryBudget {
  retries: number;
  hedges: number;
}

/** Retry budgets and crash suspects, which keep one request's failures from affecting others. */
export interface ProtectionState {
  /** Requests that were outstanding at targets when these crashed, by service and fingerprint. */
  readonly crashes: CrashLedger;
  readonly budgets: Map<ServiceName, RetryBudget>;
  /** When the latest suspects are next sent to all peers; monotonic milliseconds. */
  nextBroadcastAt: number;
}

/** Creates the state of a process without suspects. */
export function createProtectionState(): ProtectionState {
  return { crashes: new CrashLedger(LEDGER_OPTIONS), budgets: new Map(), nextBroadcastAt: 0 };
}
