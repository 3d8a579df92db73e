import type { PermitDecision } from '../limits/index.js';
import type { BalancerContext, BalancerState } from './BalancerState.js';
import type { BalancerEffect } from './effects.js';
import type { Quota } from './model.js';
import type { PendingRequest } from './PendingRequest.js';

/**
 * A VM that can't issue an organisation's permits states this time, in milliseconds. It may read a
 * changed configuration or list of VMs meanwhile.
 */
const NOT_ISSUING_WAIT_MS = 1_000;

/** Returns the quota of an organisation; undefined if it has none. */
export function getQuota(
  { keys }: BalancerState,
  organisation: string | undefined,
): Quota | undefined {
  return organisation === undefined ? undefined : keys.getByName(organisation)?.quota;
}

/**
 * Whether this VM is one of those that may issue an organisation's permits. One that is not listed,
 * or has not read the list, must not: it would issue in addition to those that the others know.
 */
function mayIssue(state: BalancerState, organisation: string, quota: Quota): boolean {
  const { announcedVms, areVmsKnown, quotaPool, settings } = state;
  if (!areVmsKnown) return false;
  return quotaPool.getOwners(organisation, quota, announcedVms).includes(settings.vm);
}

/**
 * Lets this VM's own issuer decide on a permit for one request.
 * @param state - State of this entry VM.
 * @param organisation - Name of the organisation.
 * @param now - Monotonic milliseconds.
 */
export function issueQuotaPermit(
  state: BalancerState,
  organisation: string,
  now: number,
): PermitDecision {
  const { keys, quotaIssuer, announcedVms } = state;
  const known = keys.getByName(organisation);
  const refusal = { isGranted: false, waitMs: NOT_ISSUING_WAIT_MS };
  if (known === undefined) return refusal;
  // The asking VM has not read yet that the limit was removed.
  if (known.quota === undefined) return { isGranted: true, waitMs: 0 };
  if (!mayIssue(state, organisation, known.quota)) return refusal;
  return quotaIssuer.tryIssue(organisation, known.quota, announcedVms.length, now);
}

/**
 * Takes back a permit that this VM issued.
 * @param state - State of this entry VM.
 * @param organisation - Name of the organisation.
 * @param now - Monotonic milliseconds.
 */
export function reclaimQuotaPermit(state: BalancerState, organisation: string, now: number): void {
  const quota = getQuota(state, organisation);
  if (quota === undefined || !mayIssue(state, organisation, quota)) return;
  state.quotaIssuer.reclaim(organisation, quota, state.announcedVms.length, now);
}

/**
 * Applies the list of VMs: the uncoordinated share is divided by them, and a VM that no longer issues
 * an organisation's permits must not keep its bucket, which would be full if it issued again. Buckets
 * of this VM fill from now on, not only from the first ask: that would be refused.
 * @param state - State of this entry VM.
 * @param now - Monotonic milliseconds.
 */
export function recordListedVms(state: BalancerState, now: number): void {
  const { announcedVms, areVmsKnown, quotaPool, quotaIssuer, settings } = state;
  quotaPool.recordVms(announcedVms.length, now, areVmsKnown && announcedVms.includes(settings.vm));
  const issued = [...state.keys.names].filter((organisation) => {
    const quota = getQuota(state, organisation);
    return quota !== undefined && mayIssue(state, organisation, quota);
  });
  const issuedNames = new Set(issued);
  quotaIssuer.keepOnly((organisation) => issuedNames.has(organisation));
  for (const organisation of issued) {
    const quota = getQuota(state, organisation);
    if (quota !== undefined) quotaIssuer.start(organisation, quota, announcedVms.length, now);
  }
}

/**
 * Removes the state of quotas that the configuration no longer has.
 * @param state - State of this entry VM; its keys are those of the new configuration.
 * @param context - Clock and random source.
 */
export function applyQuotas(state: BalancerState, { now }: BalancerContext): void {
  state.quotaPool.applyQuotas((organisation) => getQuota(state, organisation));
  recordListedVms(state, now);
}

/** Returns a permit to the VM that issued it; one of the uncoordinated share stays used. */
function returnTo(
  state: BalancerState,
  organisation: string,
  vm: string | undefined,
  now: number,
): BalancerEffect[] {
  if (vm === undefined) return [];
  if (vm !== state.settings.vm) return [{ kind: 'returnQuota', vm, organisation }];
  reclaimQuotaPermit(state, organisation, now);
  return [];
}

/**
 * Returns the permit of a request that ends without having been sent, and ends an ask for one.
 * @param state - State of this entry VM.
 * @param pending - The request.
 * @param now - Monotonic milliseconds.
 */
export function returnQuotaPermit(
  state: BalancerState,
  pending: PendingRequest,
  now: number,
): BalancerEffect[] {
  const { quota, quotaPermit, organisation } = pending;
  if (organisation === undefined || quota === 'unlimited' || quota === 'unasked') return [];
  // An open attempt may run.
  if (quota === 'granted' && (pending.hasPossiblyRun || pending.attempts.size > 0)) return [];
  pending.quota = 'unasked';
  pending.quotaPermit = undefined;
  if (quota === 'granted') return returnTo(state, organisation, quotaPermit?.vm, now);
  if (quotaPermit !== undefined) state.quotaPool.endAsk(quotaPermit.ask, now);
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
  { quotaPool }: BalancerState,
  { organisation }: PendingRequest,
  now: number,
  chance: number,
): number {
  return organisation === undefined ? 0 : quotaPool.getRetryMs(organisation, now, chance);
}
