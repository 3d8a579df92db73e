import type { BalancerContext, BalancerState } from './BalancerState.js';
import type { BalancerEffect } from './effects.js';
import type { QuotaAnswered, QuotaAsked, QuotaReturned } from './events.js';
import type { PendingRequest } from './PendingRequest.js';
import { getNextWakeAt, placeRequest } from './placing.js';
import { getQuota, issueQuotaPermit, reclaimQuotaPermit } from './quotaPermits.js';
import { addDenial, askForPermit } from './quotas.js';
import { PROBE_ROUND_TIMEOUT_MS } from './settings.js';

/** Grants or denies another VM a permit. */
export function handleQuotaAsked(
  state: BalancerState,
  { ask: { organisation, ask }, from }: QuotaAsked,
  { now }: BalancerContext,
): BalancerEffect[] {
  const decision = issueQuotaPermit(state, organisation, now);
  return [{ kind: 'answerQuota', to: from, answer: { organisation, ask, ...decision } }];
}

/** Continues a request that has a permit, or waits for the next issuer's answer. */
function continueRequest(
  state: BalancerState,
  pending: PendingRequest,
  context: BalancerContext,
): BalancerEffect[] {
  const { id: request } = pending;
  if (pending.quota === 'awaited') {
    return [{ kind: 'wake', request, at: getNextWakeAt(pending) }];
  }
  const effects = placeRequest(state, pending, context);
  const { round } = pending;
  if (!state.pendingRequests.has(request) || round === undefined || effects.length > 0) {
    return effects;
  }
  // The wake-up of the round was replaced by that of the ask.
  return [{ kind: 'wake', request, at: round.startedAt + PROBE_ROUND_TIMEOUT_MS }];
}

/** Places the request that a permit was asked for, asks another VM, or refuses the request. */
export function handleQuotaAnswered(
  state: BalancerState,
  { answer: { organisation, ask: id, isGranted, waitMs } }: QuotaAnswered,
  context: BalancerContext,
): BalancerEffect[] {
  const { now } = context;
  const { quotaPool } = state;
  const ask = quotaPool.takeAnswered(id, organisation);
  if (ask === undefined) {
    const ended = quotaPool.takeEnded(id, now);
    if (!isGranted || ended?.organisation !== organisation) return [];
    return [{ kind: 'returnQuota', vm: ended.vm, organisation }];
  }
  const quota = getQuota(state, organisation);
  const pending = state.pendingRequests.get(ask.request);
  if (pending?.quotaPermit?.ask !== id) return [];
  if (isGranted) {
    pending.quota = 'granted';
    if (quota !== undefined) quotaPool.count(organisation, quota, 'granted');
    return continueRequest(state, pending, context);
  }
  if (quota !== undefined) quotaPool.recordDenial(organisation, quota, ask.vm, waitMs, now);
  const asked = askForPermit(state, pending, addDenial(ask.history, ask.vm), context);
  if (!state.pendingRequests.has(pending.id)) return asked;
  return [...asked, ...continueRequest(state, pending, context)];
}

/** Takes back a permit that another VM has not used. */
export function handleQuotaReturned(
  state: BalancerState,
  { organisation }: QuotaReturned,
  { now }: BalancerContext,
): BalancerEffect[] {
  reclaimQuotaPermit(state, organisation, now);
  return [];
}
