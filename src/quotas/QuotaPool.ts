import type { QuotaBound } from './model.js';

/** Permits of organisations that this VM has asked for, and whom it asks next. */
export class QuotaPool {
  /** @param bound - How far quotas may be exceeded; undefined if no quotas are in force. */
  constructor(readonly bound: QuotaBound | undefined) {}
}
