export { getServiceSpare } from './getServiceSpare.js';
export { getServiceHolders } from './holders.js';
export type { ServiceHolder } from './holders.js';
export { requestsPart } from './requestsPart.js';
export { createRequestsState } from './RequestsState.js';
export type { AttemptRecord, RequestRecord, RequestsState } from './RequestsState.js';
export type { PeerEstimate, ServiceTraffic } from './ServiceTraffic.js';
