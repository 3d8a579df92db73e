export { fleetPart } from './fleetPart.js';
export { createFleetState } from './FleetState.js';
export type { FleetState, Peer } from './FleetState.js';
export { getCurrentHolder, getHolder, getPartition } from './holders.js';
export { sendTo } from './peers.js';
export { getLeaseEnd, isClosing, isConfigurationFresh, canDrive } from './queries.js';
