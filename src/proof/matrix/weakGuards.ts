import type { Guards } from '../../core/index.js';

/** In the place of each guard a function that lets through what the guard keeps back. */
export const WEAK_GUARDS: Guards = {
  leaseCheckBeforeSend: () => true,
  waitForEarlierHolders: () => true,
  readBackAfterUnknown: () => false,
  majorityBeforeTakeover: () => true,
  generationNeverBack: (offered, inForce) => offered !== inForce,
  claimBeforeSend: () => false,
  noResendAfterByte: () => true,
  coldLimit: (_phase, limit) => limit,
  notRunOnlyIfCertain: () => true,
  conditionalKeyWrite: () => true,
  freshBeforeWork: () => true,
};
