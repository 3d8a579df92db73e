export type { QuotaAnswer, QuotaAsk, QuotaBound } from './model.js';
export { QuotaIssuer } from './QuotaIssuer.js';
export { QuotaPool } from './QuotaPool.js';
