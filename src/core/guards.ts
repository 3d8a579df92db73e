import type { AttemptEnd, RequestArrived } from './events.js';
import type { StoreResult, TargetPhase } from './model/index.js';

/**
 * The decisions on which the safety guarantees depend, one function each. The core calls them
 * through `state.guards`, so that a test can replace one by a weaker function and show that the
 * fault matrix detects it. A process always runs with `DEFAULT_GUARDS`; no setting changes them.
 */
export interface Guards {
  /**
   * Whether the lease is still valid, checked just before an attempt is sent. Without it a process
   * that was paused sends to targets that another process drives by then.
   */
  leaseCheckBeforeSend(now: number, leaseEnd: number): boolean;
  /**
   * Whether a partition may be granted. Without it two processes drive the same targets until the
   * earlier holder has released them.
   */
  waitForEarlierHolders(earlierHoldersReleased: boolean): boolean;
  /**
   * Whether the outcome of a store call has to be read back. Without it a write that took effect,
   * but whose answer was lost, counts as failed.
   */
  readBackAfterUnknown(result: StoreResult): boolean;
  /**
   * Whether enough members know of a later epoch that no majority is left to confirm an earlier
   * one; half of the members are enough. Without it a member that can't reach the store, and
   * continues because its peers know of no later epoch, drives targets at the same time as the new
   * holder.
   */
  majorityBeforeTakeover(informed: number, members: number): boolean;
  /** Whether a configuration is later than the one in force. Without it an old one is adopted. */
  generationNeverBack(offered: number, inForce: number): boolean;
  /** Whether a request's key has to be claimed before it is sent. Without it repeats run twice. */
  claimBeforeSend(request: RequestArrived): boolean;
  /**
   * Whether a request that must not run twice may be retried after an attempt ended this way.
   * Without it a request whose target ran it, but whose answer was lost, runs a second time.
   */
  noResendAfterByte(end: AttemptEnd): boolean;
  /** Requests that may be outstanding at a target. Without it a cold target is overloaded. */
  coldLimit(phase: TargetPhase, limit: number): number;
  /** Whether an ended attempt provably did not run. Without it `not-run` is reported wrongly. */
  notRunOnlyIfCertain(end: AttemptEnd): boolean;
  /**
   * Whether a conditional write of request keys succeeded. Without it a home that was paused
   * overwrites the claims that another home recorded meanwhile, and a key is claimed twice.
   */
  conditionalKeyWrite(result: StoreResult): boolean;
  /**
   * Whether the configuration was confirmed as the latest recently enough to accept new requests.
   */
  freshBeforeWork(now: number, confirmedAt: number, freshnessMs: number): boolean;
}

/** The guards that every process runs with. */
export const DEFAULT_GUARDS: Guards = {
  leaseCheckBeforeSend: (now, leaseEnd) => now < leaseEnd,
  waitForEarlierHolders: (earlierHoldersReleased) => earlierHoldersReleased,
  readBackAfterUnknown: (result) => result.kind === 'unknown',
  majorityBeforeTakeover: (informed, members) => informed * 2 >= members,
  generationNeverBack: (offered, inForce) => offered > inForce,
  claimBeforeSend: (request) => request.key !== undefined && request.forwardedBy === undefined,
  noResendAfterByte: (end) => end === 'notSent',
  coldLimit: (phase, limit) => (phase === 'cold' ? Math.min(limit, 1) : limit),
  notRunOnlyIfCertain: (end) => end === 'notSent',
  conditionalKeyWrite: (result) => result.kind === 'written',
  freshBeforeWork: (now, confirmedAt, freshnessMs) => now - confirmedAt < freshnessMs,
};
