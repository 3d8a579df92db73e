export { getOwners } from './getOwners.js';
export {
  ISSUER_TIMEOUT_MS,
  ISSUERS_PER_TARGET,
  MAX_ACTIVE_ISSUERS,
  PERMIT_TTL_MS,
  UNRESPONSIVE_RETRY_MS,
} from './issuing.js';
export type { LimitChange } from './LimitView.js';
export { LimitView } from './LimitView.js';
export type {
  LimitedTarget,
  LimitMessage,
  LimitNews,
  LimitReport,
  PermitAnswer,
  PermitAsk,
  PermitReturn,
} from './model.js';
export { getLimitKey } from './model.js';
export type { PermitDecision, WaitBounds } from './PermitBuckets.js';
export { PermitBuckets } from './PermitBuckets.js';
export { PermitIssuer } from './PermitIssuer.js';
export { PermitPool } from './PermitPool.js';
export type { BucketConfig } from './TokenBuckets.js';
export { TokenBuckets } from './TokenBuckets.js';
