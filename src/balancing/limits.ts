import type { ServiceName } from '../core/model/index.js';
import type { LimitedTarget, LimitReport, PermitDecision } from '../limits/index.js';
import type { BalancerState } from './BalancerState.js';
import type { BalancerEffect } from './effects.js';
import type { AdvertisedLimit } from './model.js';
import type { TargetRecord } from './TargetRecord.js';

function toLimitedTarget({ entry }: TargetRecord): LimitedTarget {
  return { target: entry.id, bornAt: entry.bornAt };
}

/**
 * Applies reports of the limits that targets have advertised.
 * @param state - State of this entry VM.
 * @param reports - Limits that were advertised to this VM or to another one.
 * @param source - Whether the reports come from an answer to this VM or from another VM.
 * @param now - Monotonic milliseconds.
 * @returns Log lines, and reports to pass on to other VMs.
 */
export function applyLimitReports(
  state: BalancerState,
  reports: readonly LimitReport[],
  source: 'answer' | 'vm',
  now: number,
): BalancerEffect[] {
  return reports.flatMap((report): BalancerEffect[] => {
    const before = state.limits.getAdvertisedRate(report);
    const change = state.limits.applyReport(report, now);
    if (change === undefined || change === 'confirmed') return [];
    const { target, perSecond, ageMs } = report;
    const service = state.targets.get(target)?.entry.service;
    const fields = { target, service, perSecond, before, source, ageMs };
    const event = change === 'named' ? 'target.limited' : 'target.unlimited';
    return [
      { kind: 'gossipLimits', reports: [report] },
      { kind: 'log', event, fields },
    ];
  });
}

/**
 * Records the limit that an answer advertises.
 * @param state - State of this entry VM.
 * @param record - The target.
 * @param limit - Limit in the answer.
 * @param now - Monotonic milliseconds.
 */
export function recordLimit(
  state: BalancerState,
  record: TargetRecord,
  limit: AdvertisedLimit,
  now: number,
): BalancerEffect[] {
  if (limit === 'unreadable') {
    const { id: target, service } = record.entry;
    return [{ kind: 'log', event: 'target.limitUnreadable', fields: { target, service } }];
  }
  const report = { ...toLimitedTarget(record), perSecond: limit, ageMs: 0 };
  return applyLimitReports(state, [report], 'answer', now);
}

/**
 * Returns the requests per second that all VMs together may send to a target; undefined if
 * unlimited.
 */
export function getLimit(
  { limits }: BalancerState,
  record: TargetRecord,
  now: number,
): number | undefined {
  return limits.size === 0 ? undefined : limits.getAllowedRate(toLimitedTarget(record), now);
}

/**
 * Whether a target's limit allows one more request from this VM now.
 * @param state - State of this entry VM.
 * @param record - The target.
 * @param now - Monotonic milliseconds.
 */
export function isWithinLimit(state: BalancerState, record: TargetRecord, now: number): boolean {
  if (getLimit(state, record, now) === undefined) return true;
  return state.permits.has(toLimitedTarget(record), now);
}

/**
 * Whether a target's limit is used up: no permit is held or requested, and no issuer can be asked
 * now.
 * @param state - State of this entry VM.
 * @param record - The target.
 * @param now - Monotonic milliseconds.
 */
export function isLimitExhausted(state: BalancerState, record: TargetRecord, now: number): boolean {
  if (isWithinLimit(state, record, now)) return false;
  const { permits, announcedVms: vms } = state;
  const target = toLimitedTarget(record);
  return !permits.isPending(target, now) && permits.getIssuer(target, vms, now) === undefined;
}

/**
 * Returns when a permit for any target of a service can be requested again; monotonic milliseconds.
 */
export function getPermitAvailableAt(
  state: BalancerState,
  service: ServiceName,
  now: number,
): number {
  const times = (state.targetsByService.get(service) ?? [])
    .filter((record) => isLimitExhausted(state, record, now))
    .map((record) =>
      state.permits.getNextRequestAt(toLimitedTarget(record), state.announcedVms, now),
    );
  return times.length === 0 ? now : Math.min(...times);
}

/** Uses a permit for a request that is being sent, and returns the target's limit. */
export function usePermit(
  state: BalancerState,
  record: TargetRecord,
  now: number,
): number | undefined {
  const perSecond = getLimit(state, record, now);
  if (perSecond !== undefined) state.permits.take(toLimitedTarget(record), now);
  return perSecond;
}

/** Number of VMs that issue permits; while the VMs are not known, as many as there may be. */
function countIssuingVms({ areVmsKnown, announcedVms }: BalancerState): number {
  return areVmsKnown ? announcedVms.length : Number.POSITIVE_INFINITY;
}

/**
 * Lets this VM's own issuer decide on a permit for one request.
 * @param state - State of this entry VM.
 * @param target - The target.
 * @param now - Monotonic milliseconds.
 */
export function issuePermit(
  state: BalancerState,
  target: LimitedTarget,
  now: number,
): PermitDecision {
  const perSecond = state.limits.getAllowedRate(target, now);
  if (perSecond === undefined) return { isGranted: true, waitMs: 0 };
  return state.issuer.tryIssue(target, perSecond, countIssuingVms(state), now);
}

/** Requests a permit from this VM's own issuer; returns whether it was granted. */
function askOwnIssuer(state: BalancerState, target: LimitedTarget, now: number): boolean {
  const { isGranted, waitMs } = issuePermit(state, target, now);
  if (isGranted) state.permits.add(target, state.settings.vm, now);
  else state.permits.recordDenial(target, state.settings.vm, waitMs, now);
  return isGranted;
}

/**
 * Requests a permit for one request to a limited target, unless a request for one is open. The
 * permit is available at once if this VM is itself an issuer for the target.
 * @param state - State of this entry VM.
 * @param record - The target.
 * @param now - Monotonic milliseconds.
 */
export function askPermit(
  state: BalancerState,
  record: TargetRecord,
  now: number,
): BalancerEffect[] {
  const { permits, announcedVms, settings, limits } = state;
  const target = toLimitedTarget(record);
  const effects: BalancerEffect[] = [];
  const silentVm = permits.expireRequest(target, now);
  if (silentVm !== undefined) {
    const fields = { issuer: silentVm, target: target.target };
    effects.push({ kind: 'log', event: 'permit.issuerSilent', fields });
  }
  if (permits.isPending(target, now)) return effects;
  let vm = permits.getIssuer(target, announcedVms, now);
  if (vm === settings.vm) {
    if (askOwnIssuer(state, target, now)) return effects;
    vm = permits.getIssuer(target, announcedVms, now);
  }
  if (vm === undefined || vm === settings.vm) return effects;
  const ask = permits.recordRequest(target, vm, now);
  const reports = limits.getReports(target, now);
  return [
    ...effects,
    { kind: 'askPermit', vm, ask: { kind: 'permitAsk', ask, ...target, reports } },
  ];
}

/** Takes back a permit that this VM issued. */
export function reclaimPermit(state: BalancerState, target: LimitedTarget, now: number): void {
  const perSecond = state.limits.getAllowedRate(target, now);
  if (perSecond === undefined) return;
  state.issuer.reclaim(target, perSecond, countIssuingVms(state), now);
}

/**
 * Returns permits that were requested on behalf of a request and that no request needs any more.
 * @param state - State of this entry VM.
 * @param permitTargets - Targets for which permits were requested.
 * @param now - Monotonic milliseconds.
 */
export function returnPermits(
  state: BalancerState,
  permitTargets: Iterable<TargetRecord>,
  now: number,
): BalancerEffect[] {
  const { permits, settings } = state;
  return [...permitTargets].flatMap((record): BalancerEffect[] => {
    const target = toLimitedTarget(record);
    const vm = record.probeWaiters.size === 0 ? permits.take(target, now) : undefined;
    if (vm === undefined) return [];
    if (vm !== settings.vm) return [{ kind: 'returnPermit', vm, target }];
    reclaimPermit(state, target, now);
    return [];
  });
}

/** Removes limits that have not been confirmed for long, with their permits and buckets. */
export function removeExpiredLimits({ limits, permits, issuer }: BalancerState, now: number): void {
  limits.removeExpired(now);
  permits.keepOnly(limits.isLimited);
  issuer.keepOnly(limits.isLimited);
}
