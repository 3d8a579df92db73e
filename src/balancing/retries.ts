import type { BalancerState } from './BalancerState.js';
import type { BalancerEffect } from './effects.js';
import type { PendingRequest } from './PendingRequest.js';
import { isHeldBack } from './priorities.js';
import { HEDGE_BUDGET_SHARE } from './settings.js';

/** Why a request is sent again: its last attempt has failed, or takes too long. */
export type RetryKind = 'retry' | 'hedge';

const BUDGET_SHARES: Readonly<Record<RetryKind, number>> = { retry: 1, hedge: HEDGE_BUDGET_SHARE };

/** The same for less urgent requests while their service is under pressure. */
const HELD_BACK_BUDGET_SHARES: Readonly<Record<RetryKind, number>> = { retry: 0.5, hedge: 0 };

/** Whether a request may be sent again, and the line to log. */
export interface RetryDecision {
  readonly isGranted: boolean;
  readonly effects: readonly BalancerEffect[];
}

/**
 * Takes one more attempt of a request from the retry budget, if there is one. An attempt that was
 * taken and not sent, as no target was worth it, is not taken again.
 * @param state - State of this entry VM.
 * @param pending - The request.
 * @param retry - Why it would be sent again.
 * @param now - Monotonic milliseconds.
 * @example
 * const { isGranted, effects } = takeRetry(state, pending, 'hedge', now);
 */
export function takeRetry(
  state: BalancerState,
  pending: PendingRequest,
  retry: RetryKind,
  now: number,
): RetryDecision {
  const { retryBudget, startedAt } = state;
  if (pending.hasUnsentRetry) return { isGranted: true, effects: [] };
  const { callerRequestId: id, service } = pending;
  const shares = isHeldBack(state, pending, now) ? HELD_BACK_BUDGET_SHARES : BUDGET_SHARES;
  const share = shares[retry];
  const usage = retryBudget.getUsage(service, now, share);
  const isGranted = retryBudget.take(service, now, share);
  pending.hasUnsentRetry = isGranted;
  const fields = {
    id,
    service,
    retry,
    requests: usage.requests,
    retries: usage.retries,
    left: Number(usage.left.toFixed(2)),
    vms: usage.slackVms,
    uptimeMs: Math.round(now - startedAt),
  };
  const event = isGranted ? 'retry.granted' : 'retry.refused';
  return { isGranted, effects: [{ kind: 'log', event, fields }] };
}
