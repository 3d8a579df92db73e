import type { BalancerContext, BalancerState } from './BalancerState.js';
import type { BalancerEffect } from './effects.js';
import type { PendingRequest } from './PendingRequest.js';

/**
 * Removes the state of quotas that the configuration no longer has.
 * @param state - State of this entry VM; its keys are those of the new configuration.
 * @param context - Clock and random source.
 */
export function applyQuotas(_state: BalancerState, _context: BalancerContext): void {}

/**
 * Returns the permit of a request that ends without having been sent, and ends an ask for one.
 * @param state - State of this entry VM.
 * @param pending - The request.
 * @param now - Monotonic milliseconds.
 */
export function returnQuotaPermit(
  _state: BalancerState,
  _pending: PendingRequest,
  _now: number,
): BalancerEffect[] {
  return [];
}

/**
 * Returns after how long a request that is over its quota may come back, in milliseconds.
 * @param state - State of this entry VM.
 * @param pending - The request.
 * @param now - Monotonic milliseconds.
 * @param chance - Uniform in [0, 1).
 */
export function getQuotaRetryMs(
  _state: BalancerState,
  _pending: PendingRequest,
  _now: number,
  _chance: number,
): number {
  return 0;
}
