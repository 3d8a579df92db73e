import type { QuotaBound } from './model.js';

/** Issues this VM's part of the permits of organisations. */
export class QuotaIssuer {
  /** @param bound - How far quotas may be exceeded; undefined if no quotas are in force. */
  constructor(readonly bound: QuotaBound | undefined) {}
}
