export type { CopyCounts } from './AnswerCopies.js';
export { ODD_ENTRY_NAMES, putOddEntry } from './oddEntries.js';
export type { StoreCopy } from './PlatformStore.js';
export { PlatformStore } from './PlatformStore.js';
export type { TargetBehaviour } from './PlatformTarget.js';
export { askForSize, makeBody, PlatformTarget } from './PlatformTarget.js';
export type { ConfiguredOrganisation, ReceivedIdentity } from './storedObjects.js';
export {
  dropAnnouncements,
  getRolloutState,
  putConfiguration,
  putRollout,
  putTarget,
  readAddresses,
  readIdentity,
  removeTarget,
  setZoneOut,
  SIGNATURE_HEADER,
  writeAddressesPath,
  writeCallerHeaders,
  writeClaimedOrganisations,
} from './storedObjects.js';
