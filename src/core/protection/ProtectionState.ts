import type { ServiceName } from '../model/index.js';

/** What this process knows about a request fingerprint that was outstanding at target crashes. */
export interface SuspectRecord {
  readonly service: ServiceName;
  readonly fingerprint: string;
  /** Crashes that this process observed itself. */
  localCrashes: number;
  /** All known crashes, `localCrashes` included; 0 once a target has answered such a request. */
  crashes: number;
  /** Monotonic milliseconds. */
  expiresAt: number;
}

/** Tokens for retries and hedges of a service; each request adds a fraction of a token to both. */
export interface RetryBudget {
  retries: number;
  hedges: number;
}

/** Retry budgets and crash suspects, which keep one request's failures from affecting others. */
export interface ProtectionState {
  /** Records by service and fingerprint. */
  readonly suspects: Map<string, SuspectRecord>;
  /**
   * Recently answered fingerprints by service, each with the time of its last answer. In order of
   * last use; the oldest are evicted first.
   */
  readonly answered: Map<ServiceName, Map<string, number>>;
  readonly budgets: Map<ServiceName, RetryBudget>;
  /** When the refused fingerprints are next sent to all peers; monotonic milliseconds. */
  nextBroadcastAt: number;
}

/** Creates the state of a process without suspects. */
export function createProtectionState(): ProtectionState {
  return { suspects: new Map(), answered: new Map(), budgets: new Map(), nextBroadcastAt: 0 };
}
