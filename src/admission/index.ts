export type { ServiceRanks } from './getServiceRanks.js';
export { getRank, getServiceRanks } from './getServiceRanks.js';
export { ServiceAdmission } from './ServiceAdmission.js';
export { getReservedSlots, isOutsideReserve, wouldHoldSlotLong } from './slotReserve.js';
export { WorkShares } from './WorkShares.js';
