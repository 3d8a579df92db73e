export type { StoreCopy } from './PlatformStore.js';
export { PlatformStore } from './PlatformStore.js';
export type { TargetBehaviour } from './PlatformTarget.js';
export { makeBody, PlatformTarget } from './PlatformTarget.js';
export {
  dropAnnouncements,
  getRolloutState,
  putConfiguration,
  putRollout,
  putTarget,
  readAddresses,
  removeTarget,
  setZoneOut,
  SIGNATURE_HEADER,
  writeAddressesPath,
  writeCallerHeaders,
} from './storedObjects.js';
