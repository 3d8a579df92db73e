export { getOwners } from './getOwners.js';
export { ISSUERS_PER_TARGET, MAX_ACTIVE_ISSUERS, PERMIT_TTL_MS } from './issuing.js';
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
export type { PermitDecision } from './PermitIssuer.js';
export { PermitIssuer } from './PermitIssuer.js';
export { PermitPool } from './PermitPool.js';
export type { BucketConfig } from './TokenBuckets.js';
export { TokenBuckets } from './TokenBuckets.js';
