import type { StoreOp, StoreResult } from '../core/index.js';
import { StoreModel } from '../standIns/models/index.js';
import type { StoreCaller } from '../store/StoreCaller.js';

/**
 * Store client backed by the store's model, without delays; a lost answer has an unknown outcome.
 */
export class StoreFake implements StoreCaller {
  readonly model = new StoreModel(
    {
      now: () => 0,
      after: (_delayMs, action) => {
        queueMicrotask(action);
        return () => {};
      },
    },
    { writesPerSecond: 1e9, readsPerSecond: 1e9 },
  );

  /** All calls so far, in order. */
  readonly ops: StoreOp[] = [];

  /** Called before each call takes effect; a test can make another operator act at this point. */
  beforeCall?: (op: StoreOp) => Promise<void>;

  async call(op: StoreOp): Promise<StoreResult> {
    this.ops.push(op);
    await this.beforeCall?.(op);
    return new Promise((resolve) => {
      this.model.call(op, (reply) => resolve(reply === 'lost' ? { kind: 'unknown' } : reply));
    });
  }
}
