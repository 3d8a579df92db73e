export { getOwners } from './getOwners.js';
export { ISSUERS, ISSUERS_AT_MOST, PERMIT_MS } from './issuing.js';
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
export type { PermitVerdict } from './PermitIssuer.js';
export { PermitIssuer } from './PermitIssuer.js';
export { PermitPool } from './PermitPool.js';
export type { BucketSize } from './TokenBuckets.js';
export { TokenBuckets } from './TokenBuckets.js';
