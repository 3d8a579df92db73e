export type { QuotaBucket } from './getQuotaBucket.js';
export { getQuotaBucket } from './getQuotaBucket.js';
export type { QuotaAnswer, QuotaAsk, QuotaBound } from './model.js';
export { DEFAULT_QUOTA_BOUND } from './model.js';
export { QuotaIssuer } from './QuotaIssuer.js';
export type { AskHistory, EndedAsk, IssuerChoice, OpenAsk, QuotaCounts } from './QuotaPool.js';
export { NO_ASKS, QuotaPool } from './QuotaPool.js';
