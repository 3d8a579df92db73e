import type { CoreSettings } from '../settings.js';

/** Share of the fleet's store writes that all lease renewals together may use. */
const RENEWAL_WRITE_SHARE = 0.25;

/**
 * Time between two renewals of a lease, in milliseconds. It grows with the number of members, so
 * that all renewals together stay within their share of the store's writes.
 * @param settings - Provide the shortest period and the store's write budget.
 * @param members - Number of members of the epoch.
 */
export function getRenewPeriod(settings: CoreSettings, members: number): number {
  const renewalsPerSecond = settings.storeWritesPerSecond * RENEWAL_WRITE_SHARE;
  return Math.max(settings.leaseRenewMs, (members * 1_000) / renewalsPerSecond);
}

/**
 * Duration of a lease from the time its renewal was sent, in milliseconds. It depends only on the
 * size of the epoch, so that every member knows how long another member's lease can last.
 * @param settings - Provide the shortest duration and period.
 * @param members - Number of members of the epoch.
 */
export function getLeaseDuration(settings: CoreSettings, members: number): number {
  const renewals = settings.leaseDurationMs / settings.leaseRenewMs;
  return getRenewPeriod(settings, members) * renewals;
}

/** A neighbour is suspected after this silence, slightly more than three heartbeat intervals. */
export const SUSPECT_AFTER_MS = 650;

/** Delay between processes that act on the same suspicion, by rank. */
export const RANK_STAGGER_MS = 100;

/** A silent member is left alone for so long if the store shows that its lease was renewed. */
export const RENEWED_RECENTLY_MS = 1_000;

/** A process whose partitions stay blocked this long starts to fence the earlier holder itself. */
export const BLOCKED_TIMEOUT_MS = 700;

/** A VM missing from the platform's list for this long is considered gone for good. */
export const MISSING_VM_TIMEOUT_MS = 30_000;

/** Time for which a leaving VM still takes requests after the time to live of its addresses. */
export const STOP_GRACE_MS = 1_000;

/** Longest time that a leaving VM waits for the store after its last request ended. */
export const STOP_STORE_TIMEOUT_MS = 1_500;

/** Number of unsettled epochs from which no more processes may join; removals continue. */
export const MAX_UNSETTLED_EPOCHS_FOR_JOIN = 8;

/** Time after which the assignment is sent again to a member that has not acknowledged it. */
export const ASSIGNMENT_RESEND_MS = 350;
