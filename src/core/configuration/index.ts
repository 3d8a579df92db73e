export { configurationPart } from './configurationPart.js';
export { createConfigurationState } from './ConfigurationState.js';
export type { ConfigurationState } from './ConfigurationState.js';
export { getConfirmedAgo, noteConfirmed } from './confirmed.js';
export { getKnownGeneration, getService, getTargetsOf, isZoneOut } from './queries.js';
export { noteGeneration } from './spread.js';
