export { enqueueStoreCall } from './enqueueStoreCall.js';
export { getStoreBudgetShare, isStoreDown } from './getStoreBudgetShare.js';
export { storeCallsPart } from './storeCallsPart.js';
export { createStoreCallsState } from './StoreCallsState.js';
export type { StoreCallsState, StoreCall } from './StoreCallsState.js';
