import type { BalancerContext, BalancerState } from './BalancerState.js';
import type { BalancerEffect } from './effects.js';
import type { QuotaAnswered, QuotaAsked, QuotaReturned } from './events.js';

/** Grants or denies another VM a permit. */
export function handleQuotaAsked(
  _state: BalancerState,
  _event: QuotaAsked,
  _context: BalancerContext,
): BalancerEffect[] {
  return [];
}

/** Places the request that a permit was asked for, asks another VM, or refuses the request. */
export function handleQuotaAnswered(
  _state: BalancerState,
  _event: QuotaAnswered,
  _context: BalancerContext,
): BalancerEffect[] {
  return [];
}

/** Takes back a permit that another VM has not used. */
export function handleQuotaReturned(
  _state: BalancerState,
  _event: QuotaReturned,
  _context: BalancerContext,
): BalancerEffect[] {
  return [];
}
