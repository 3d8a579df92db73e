export { configurationPart } from './configurationPart.js';
export { createConfigurationState } from './ConfigurationState.js';
export type { ConfigurationState } from './ConfigurationState.js';
export { getConfirmationAgeMs, recordConfirmation } from './confirmation.js';
export { getKnownGeneration, getService, getTargetsOf, isZoneOut } from './queries.js';
export { recordPeerGeneration } from './gossip.js';
