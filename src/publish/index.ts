export { AdminClient } from './AdminClient.js';
export type { AdminCaller } from './AdminClient.js';
export { BASE_FILE, readBaseFile, writeBaseFile } from './BaseFile.js';
export {
  PublishError,
  StaleBaseError,
  StoreUnavailableError,
  UnknownOutcomeError,
} from './errors.js';
export { hashService } from './hashService.js';
export { getServiceKey, ROOT_KEY } from './keys.js';
export { isEmptyPlan, planPublication } from './planPublication.js';
export type { DesiredConfiguration, PublicationPlan } from './planPublication.js';
export { Publisher } from './Publisher.js';
export type { PublicationBase, PublicationResult, PublisherOptions } from './Publisher.js';
export {
  ASSIGNMENT_KEY,
  pushToEntryVms,
  readEntryAddresses,
  waitUntilInForce,
} from './propagation.js';
export type { PropagationProgress } from './propagation.js';
