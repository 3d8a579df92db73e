import type { StoreOp, StoreResult } from '../core/index.js';

/** Calls the platform's store. The promise never rejects: failures are returned as results. */
export interface StoreCaller {
  /** @param op - The operation to perform. */
  call(op: StoreOp): Promise<StoreResult>;
}
