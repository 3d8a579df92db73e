export { protectionPart } from './protectionPart.js';
export { createProtectionState } from './ProtectionState.js';
export type { ProtectionState, RetryBudget } from './ProtectionState.js';
export { addRetryTokens, canHedge, takeHedge, tryTakeRetry } from './retryBudget.js';
export {
  getRefusalRemainingMs,
  decideSuspectHandling,
  recordAnsweredRequest,
  recordTargetCrash,
} from './suspects.js';
export type { SuspectDecision } from './suspects.js';
