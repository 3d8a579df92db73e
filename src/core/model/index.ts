export * from './Fleet.js';
export * from './FleetConfig.js';
export * from './ids.js';
export * from './PeerMessage.js';
export * from './StoreCall.js';
export * from './StorePosition.js';
