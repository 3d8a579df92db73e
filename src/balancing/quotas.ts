import { ISSUER_TIMEOUT_MS } from '../limits/index.js';
import type { AskHistory } from '../quotas/index.js';
import { NO_ASKS } from '../quotas/index.js';
import type { BalancerContext, BalancerState } from './BalancerState.js';
import type { BalancerEffect } from './effects.js';
import { refuseOrFail } from './endings.js';
import type { Quota } from './model.js';
import type { PendingRequest } from './PendingRequest.js';
import { getQuota, issueQuotaPermit, returnQuotaPermit } from './quotaPermits.js';

/**
 * Issuers without a permit that one request asks before it is refused: all issuers of a small
 * organisation, whose permits lie at whichever of them was asked least.
 */
const MAX_DENIALS = 3;

/**
 * Issuers that one request finds silent before it gives up, each for `ISSUER_TIMEOUT_MS`. A VM that
 * is cut off must not hold its callers until their timeout.
 */
const MAX_SILENCES = 3;

function grant(pending: PendingRequest, vm: string | undefined, now: number): void {
  pending.quota = 'granted';
  pending.quotaPermit = vm === undefined ? undefined : { ask: 0, vm, askedAt: now };
}

function refuse(
  state: BalancerState,
  pending: PendingRequest,
  organisation: string,
  quota: Quota,
  context: BalancerContext,
): BalancerEffect[] {
  state.quotaPool.count(organisation, quota, 'refused');
  return refuseOrFail(state, pending, 'overQuota', context);
}

/** Uses the uncoordinated share for a request whose VM reaches no issuer, or refuses it. */
function passUncoordinated(
  state: BalancerState,
  pending: PendingRequest,
  organisation: string,
  quota: Quota,
  context: BalancerContext,
): BalancerEffect[] {
  const { quotaPool } = state;
  if (!quotaPool.tryUncoordinated(organisation, quota, context.now)) {
    return refuse(state, pending, organisation, quota, context);
  }
  quotaPool.count(organisation, quota, 'granted');
  grant(pending, undefined, context.now);
  return [];
}

/**
 * Returns the history of a request after an issuer had no permit.
 * @param history - What it met before.
 * @param vm - The issuer.
 */
export function addDenial(history: AskHistory, vm: string): AskHistory {
  return { ...history, asked: [...history.asked, vm], denials: history.denials + 1 };
}

/**
 * Asks the next issuer for the permit of a request. The request is granted at once if this VM is the
 * issuer, and refused if no issuer has a permit.
 * @param state - State of this entry VM.
 * @param pending - The request; no ask of it is open.
 * @param history - What it has met so far.
 * @param context - Clock and random source.
 */
export function askForPermit(
  state: BalancerState,
  pending: PendingRequest,
  history: AskHistory,
  context: BalancerContext,
): BalancerEffect[] {
  const { now, random } = context;
  const { quotaPool, announcedVms: vms, liveVms, settings } = state;
  const { organisation } = pending;
  pending.quota = 'unasked';
  pending.quotaPermit = undefined;
  const quota = getQuota(state, organisation);
  if (organisation === undefined || quota === undefined) {
    pending.quota = 'unlimited';
    return [];
  }
  quotaPool.recordVms(vms.length, now, state.areVmsKnown && vms.includes(settings.vm));
  if (history.denials >= MAX_DENIALS) return refuse(state, pending, organisation, quota, context);
  const query = { organisation, quota, vms, liveVms, history };
  const choice = quotaPool.chooseIssuer(query, settings.vm, now);
  if (choice.kind === 'wait') return refuse(state, pending, organisation, quota, context);
  if (choice.kind === 'unreachable' || history.silences >= MAX_SILENCES) {
    return passUncoordinated(state, pending, organisation, quota, context);
  }
  const { vm } = choice;
  if (vm !== settings.vm) {
    const ask = quotaPool.startAsk({ request: pending.id, organisation, vm, history }, random);
    pending.quota = 'awaited';
    pending.quotaPermit = { ask, vm, askedAt: now };
    return [{ kind: 'askQuota', vm, ask: { organisation, ask } }];
  }
  const { isGranted, waitMs } = issueQuotaPermit(state, organisation, now);
  if (isGranted) {
    quotaPool.count(organisation, quota, 'granted');
    grant(pending, vm, now);
    return [];
  }
  quotaPool.recordDenial(organisation, quota, vm, waitMs, now);
  return askForPermit(state, pending, addDenial(history, vm), context);
}

/** Returns when an ask for a permit is overdue; monotonic milliseconds. */
export function getQuotaOverdueAt({ quota, quotaPermit }: PendingRequest): number {
  if (quota !== 'awaited' || quotaPermit === undefined) return Number.POSITIVE_INFINITY;
  return quotaPermit.askedAt + ISSUER_TIMEOUT_MS;
}

/**
 * Whether the quota of a request's organisation lets it be sent. A permit is valid as long as its
 * request waits: a window counts requests that were sent by their callers and ran within it, and a
 * permit is granted after its request was sent.
 */
export function hasQuota({ quota }: Pick<PendingRequest, 'quota'>): boolean {
  return quota === 'unlimited' || quota === 'granted';
}

/**
 * Asks for the permit that a request needs, or asks another VM if the answer is overdue. Refuses the
 * request if its organisation has used up its quota; the request is then no longer pending.
 * @param state - State of this entry VM.
 * @param pending - The request; nothing has been sent for it.
 * @param context - Clock and random source.
 */
export function ensureQuota(
  state: BalancerState,
  pending: PendingRequest,
  context: BalancerContext,
): BalancerEffect[] {
  const { now } = context;
  const { quotaPool } = state;
  if (pending.quota !== 'awaited' || pending.quotaPermit === undefined) {
    const returned = returnQuotaPermit(state, pending, now);
    return [...returned, ...askForPermit(state, pending, NO_ASKS, context)];
  }
  if (now < getQuotaOverdueAt(pending)) return [];
  const { vm, ask } = pending.quotaPermit;
  const before = quotaPool.endAsk(ask, now)?.history ?? NO_ASKS;
  const wasResponsive = quotaPool.recordSilence(vm, now);
  const history = { ...before, asked: [...before.asked, vm], silences: before.silences + 1 };
  const fields = { issuer: vm, organisation: pending.organisation };
  const line: BalancerEffect = { kind: 'log', event: 'quota.issuerSilent', fields };
  const asked = askForPermit(state, pending, history, context);
  return wasResponsive ? [line, ...asked] : asked;
}
