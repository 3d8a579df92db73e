import type { StoreOp, StoreResult } from '../core/index.js';
import type { StoreCaller } from '../store/StoreCaller.js';

/** Retry policy for a store that does not answer. */
export interface RetryOptions {
  /** Maximum number of attempts, including the first. */
  readonly attempts: number;
  /** Waits between two attempts. */
  wait(ms: number): Promise<void>;
}

const INITIAL_BACKOFF_MS = 100;
const MAX_BACKOFF_MS = 2_000;

/** Whether a result is a failure after which a read can be retried. */
function isTransient(result: StoreResult): boolean {
  return ['throttled', 'unavailable', 'unknown'].includes(result.kind);
}

/** Retries reads with exponential backoff, and gives callers the same policy for writes. */
export class RetryingStore {
  /**
   * @param store - Client of the object store.
   * @param options - Retry policy.
   */
  constructor(
    private readonly store: StoreCaller,
    private readonly options: RetryOptions,
  ) {}

  /**
   * Reads from the store, with retries.
   * @param op - A `get` or `list`.
   * @returns The last result, which is a transient failure if no attempt was answered.
   */
  async read(op: StoreOp): Promise<StoreResult> {
    let result = await this.store.call(op);
    for (let attempt = 1; attempt < this.options.attempts && isTransient(result); attempt += 1) {
      await this.wait(attempt, result);
      result = await this.store.call(op);
    }
    return result;
  }

  /**
   * Writes to the store, without retries.
   * @param op - A `put` or `delete`.
   */
  write(op: StoreOp): Promise<StoreResult> {
    return this.store.call(op);
  }

  /**
   * Whether another attempt is allowed.
   * @param attempt - Attempts made so far.
   */
  canRetry(attempt: number): boolean {
    return attempt < this.options.attempts;
  }

  /**
   * Waits before the next attempt.
   * @param attempt - Attempts made so far.
   * @param result - Last result; if throttled, its `retryAfterMs` is the minimum wait.
   */
  wait(attempt: number, result: StoreResult): Promise<void> {
    const requestedMs = result.kind === 'throttled' ? result.retryAfterMs : 0;
    const backoffMs = Math.min(MAX_BACKOFF_MS, INITIAL_BACKOFF_MS * 2 ** (attempt - 1));
    return this.options.wait(Math.max(requestedMs, backoffMs));
  }
}
