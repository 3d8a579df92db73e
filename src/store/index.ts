export { StoreProtocolError } from './errors.js';
export { StoreClient } from './StoreClient.js';
export type { StoreClientOptions } from './StoreClient.js';
