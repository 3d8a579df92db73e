export { combinePriorities } from './combinePriorities.js';
export { hasPriorities } from './hasPriorities.js';
export { OrganisationTurns } from './OrganisationTurns.js';
export type { ReturnTerms } from './retryTimes.js';
export { getReturnMs } from './retryTimes.js';
export { ServiceAdmission } from './ServiceAdmission.js';
export type { PressureChange, PressureLevel } from './ServicePressure.js';
export { ServicePressure } from './ServicePressure.js';
export type { SlotTerms } from './slotReserve.js';
export {
  getGuaranteedSlots,
  getReservedSlots,
  isSlotOpen,
  wouldHoldSlotLong,
} from './slotReserve.js';
export type { WaitingRequest } from './waitingOrder.js';
export { compareWaiting } from './waitingOrder.js';
export { WorkShares } from './WorkShares.js';
