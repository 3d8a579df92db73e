export { PlatformStore } from './PlatformStore.js';
export type { TargetMood } from './PlatformTarget.js';
export { makeBody, PlatformTarget } from './PlatformTarget.js';
export {
  putConfiguration,
  putTarget,
  removeTarget,
  setZoneOut,
  SIGNATURE_HEADER,
  writeCallerHeaders,
} from './writeStored.js';
