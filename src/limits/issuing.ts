/**
 * VMs that issue permits for a target, each for a third of the limit. Two of them may be down
 * without cutting the target off.
 */
export const ISSUERS_PER_TARGET = 3;

/**
 * Maximum number of VMs that issue permits for a target at the same time: another VM may have taken
 * over from an unresponsive one.
 */
export const MAX_ACTIVE_ISSUERS = 4;

/**
 * An unused permit expires after this time, in milliseconds. Permits that were saved up would be
 * used in a burst.
 */
export const PERMIT_TTL_MS = 300;

/** An issuer that does not answer within this time is considered unresponsive, in milliseconds. */
export const ISSUER_TIMEOUT_MS = 60;

/** An issuer that did not answer is asked again after this time, in milliseconds. */
export const UNRESPONSIVE_RETRY_MS = 1_500;
