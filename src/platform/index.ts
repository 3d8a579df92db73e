export type { ObjectStoreHandlers } from './ObjectStore.js';
export { ObjectStore } from './ObjectStore.js';
export { ADDRESSES_PATH, READY_PATH, writeAddresses } from './pages.js';
export type { CallerHead, TargetHead } from './requests.js';
export { readStatements } from './readStatements.js';
export {
  createRequestIdHeader,
  keepApiKey,
  readCallerHead,
  readKeyDigest,
  readTargetHead,
  writeOrganisation,
  writeTargetHeaders,
} from './requests.js';
