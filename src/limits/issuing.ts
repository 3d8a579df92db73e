/** VMs that issue permits for a target, each a third of its limit: two may be down without idling it. */
export const ISSUERS = 3;

/** VMs that may issue permits at once: another stands in for one that is silent. */
export const ISSUERS_AT_MOST = 4;

/**
 * A permit that is not used in this time is void, in milliseconds: permits that are saved up would
 * be used together.
 */
export const PERMIT_MS = 300;

/** An issuer that does not answer in this time is silent, in milliseconds. */
export const ANSWER_MS = 60;
