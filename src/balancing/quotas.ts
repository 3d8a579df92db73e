import type { BalancerContext, BalancerState } from './BalancerState.js';
import type { BalancerEffect } from './effects.js';
import type { PendingRequest } from './PendingRequest.js';

/**
 * Asks for the permit that a request needs, or asks another VM if the answer is overdue. Refuses the
 * request if its organisation has used up its quota; the request is then no longer pending.
 * @param state - State of this entry VM.
 * @param pending - The request; nothing has been sent for it.
 * @param context - Clock and random source.
 */
export function ensureQuota(
  _state: BalancerState,
  _pending: PendingRequest,
  _context: BalancerContext,
): BalancerEffect[] {
  _pending.quota = 'unlimited';
  return [];
}

/** Returns when an ask for a permit is overdue; monotonic milliseconds. */
export function getQuotaOverdueAt(_pending: PendingRequest): number {
  return Number.POSITIVE_INFINITY;
}
