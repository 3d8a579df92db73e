import type { ServiceName } from '../core/model/index.js';
import type { LimitedTarget, LimitReport, PermitDecision } from '../limits/index.js';
import type { BalancerState } from './BalancerState.js';
import type { BalancerEffect } from './effects.js';
import type { NamedLimit } from './model.js';
import type { TargetRecord } from './TargetRecord.js';

function toLimited({ entry }: TargetRecord): LimitedTarget {
  return { target: entry.id, bornAt: entry.bornAt };
}

/**
 * Takes what a target said of its limit.
 * @param state - What is known.
 * @param reports - What it said, to this VM or to another one.
 * @param source - Who heard it.
 * @param now - Monotonic milliseconds.
 * @returns Lines of the log, and what is to be told on.
 */
export function takeLimitReports(
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
 * Notes what an answer says of the requests a second that its target takes.
 * @param state - What is known.
 * @param record - The target.
 * @param limit - What the answer names.
 * @param now - Monotonic milliseconds.
 */
export function noteLimit(
  state: BalancerState,
  record: TargetRecord,
  limit: NamedLimit,
  now: number,
): BalancerEffect[] {
  if (limit === 'unreadable') {
    const { id: target, service } = record.entry;
    return [{ kind: 'log', event: 'target.limitUnreadable', fields: { target, service } }];
  }
  const report = { ...toLimited(record), perSecond: limit, ageMs: 0 };
  return takeLimitReports(state, [report], 'answer', now);
}

/** Requests a second that all VMs together may send to a target now; undefined if it is not limited. */
export function getLimit(
  { limits }: BalancerState,
  record: TargetRecord,
  now: number,
): number | undefined {
  return limits.size === 0 ? undefined : limits.getAllowedRate(toLimited(record), now);
}

/**
 * Whether a request may be sent to a target, as far as its limit is concerned.
 * @param state - What is known.
 * @param record - The target.
 * @param now - Monotonic milliseconds.
 */
export function maySend(state: BalancerState, record: TargetRecord, now: number): boolean {
  if (getLimit(state, record, now) === undefined) return true;
  return state.permits.has(toLimited(record), now);
}

/**
 * Whether a target's limit is used up, so that no permit can be had before a time that is known.
 * @param state - What is known.
 * @param record - The target.
 * @param now - Monotonic milliseconds.
 */
export function isExhausted(state: BalancerState, record: TargetRecord, now: number): boolean {
  if (maySend(state, record, now)) return false;
  const { permits, announced } = state;
  const target = toLimited(record);
  return !permits.isPending(target, now) && permits.getIssuer(target, announced, now) === undefined;
}

/** When a permit can be had for a target of a service again; monotonic milliseconds. */
export function getOpenAt(state: BalancerState, service: ServiceName, now: number): number {
  const times = (state.byService.get(service) ?? [])
    .filter((record) => isExhausted(state, record, now))
    .map((record) => state.permits.getNextRequestAt(toLimited(record), state.announced, now));
  return times.length === 0 ? now : Math.min(...times);
}

/** Uses a permit up as a request is sent; gives the limit that it is sent under. */
export function usePermit(
  state: BalancerState,
  record: TargetRecord,
  now: number,
): number | undefined {
  const perSecond = getLimit(state, record, now);
  if (perSecond !== undefined) state.permits.take(toLimited(record), now);
  return perSecond;
}

/**
 * Has this VM's own issuer decide on one request.
 * @param state - What is known.
 * @param target - The target.
 * @param now - Monotonic milliseconds.
 */
export function issue(state: BalancerState, target: LimitedTarget, now: number): PermitDecision {
  const perSecond = state.limits.getAllowedRate(target, now);
  if (perSecond === undefined) return { isGranted: true, waitMs: 0 };
  return state.issuer.tryIssue(target, perSecond, state.announced.length, now);
}

/** Asks this VM's own issuer; gives whether it granted one. */
function askSelf(state: BalancerState, target: LimitedTarget, now: number): boolean {
  const { isGranted, waitMs } = issue(state, target, now);
  if (isGranted) state.permits.add(target, state.settings.vm, now);
  else state.permits.recordDenial(target, state.settings.vm, waitMs, now);
  return isGranted;
}

/**
 * Asks for a permit to send one request to a limited target, unless it is being asked for. It may be had
 * at once if this VM issues permits for the target itself.
 * @param state - What is known.
 * @param record - The target.
 * @param now - Monotonic milliseconds.
 */
export function askPermit(
  state: BalancerState,
  record: TargetRecord,
  now: number,
): BalancerEffect[] {
  const { permits, announced, settings, limits } = state;
  const target = toLimited(record);
  const effects: BalancerEffect[] = [];
  const silent = permits.expireRequest(target, now);
  if (silent !== undefined) {
    const fields = { vm: silent, target: target.target };
    effects.push({ kind: 'log', event: 'permit.issuerSilent', fields });
  }
  if (permits.isPending(target, now)) return effects;
  let vm = permits.getIssuer(target, announced, now);
  if (vm === settings.vm) {
    if (askSelf(state, target, now)) return effects;
    vm = permits.getIssuer(target, announced, now);
  }
  if (vm === undefined || vm === settings.vm) return effects;
  const ask = permits.recordRequest(target, vm, now);
  const reports = limits.getReports(target, now);
  return [
    ...effects,
    { kind: 'askPermit', vm, ask: { kind: 'permitAsk', ask, ...target, reports } },
  ];
}

/** Takes a permit back that this VM issued. */
export function takePermitBack(state: BalancerState, target: LimitedTarget, now: number): void {
  const perSecond = state.limits.getAllowedRate(target, now);
  if (perSecond === undefined) return;
  state.issuer.reclaim(target, perSecond, state.announced.length, now);
}

/**
 * Returns permits that were asked for on behalf of a request and that neither it nor another one needs.
 * @param state - What is known.
 * @param permitsAsked - Targets that permits were asked for.
 * @param now - Monotonic milliseconds.
 */
export function returnPermits(
  state: BalancerState,
  permitsAsked: Iterable<TargetRecord>,
  now: number,
): BalancerEffect[] {
  const { permits, settings } = state;
  return [...permitsAsked].flatMap((record): BalancerEffect[] => {
    const target = toLimited(record);
    const vm = record.probeWaiters.size === 0 ? permits.take(target, now) : undefined;
    if (vm === undefined) return [];
    if (vm !== settings.vm) return [{ kind: 'returnPermit', vm, target }];
    takePermitBack(state, target, now);
    return [];
  });
}

/** Forgets limits that nobody has confirmed for long, and all that hangs on them. */
export function forgetLimits({ limits, permits, issuer }: BalancerState, now: number): void {
  limits.removeExpired(now);
  permits.keepOnly(limits.isLimited);
  issuer.keepOnly(limits.isLimited);
}
