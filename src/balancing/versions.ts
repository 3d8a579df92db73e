import type { ServiceName, TargetId } from '../core/model/index.js';
import type { BalancerContext, BalancerState } from './BalancerState.js';
import type { BalancerEffect } from './effects.js';
import type { RolloutGuided, RolloutsRead } from './events.js';
import type { PendingRequest, PendingAttempt } from './PendingRequest.js';
import type { AnswerCounts } from '../rollouts/index.js';
import type { ServiceRollout, VersionStage } from './ServiceVersions.js';
import { getRouteShare, getStage, getTargetsInUse } from './ServiceVersions.js';
import { HEDGE_DELAY_FACTOR, HEDGE_MIN_DELAY_MS, MAX_NORMAL_SLOWDOWN } from './settings.js';
import type { TargetRecord } from './TargetRecord.js';

/**
 * How long targets of a version that is new to their service get no requests while no order names
 * it, in milliseconds. They register when the order is given, and may be read before it.
 */
const NEW_VERSION_HOLD_MS = 2_500;

/** Which version a request is for: the current one, or the one that is being rolled out. */
export type VersionTrack = 'usual' | 'tried';

/**
 * Draws whether a request is sent to the version that its service is being moved to.
 * @param state - State of this entry VM.
 * @param service - Service of the request.
 * @param route - Name of its route.
 * @param context - Clock and random source.
 */
export function drawTrack(
  { versions }: BalancerState,
  service: ServiceName,
  route: string,
  { now, random }: BalancerContext,
): VersionTrack {
  const rollout = versions.rollouts.get(service);
  if (rollout === undefined) return 'usual';
  const stage = getStage(rollout, now);
  if (stage === 'moved' || stage === 'completed') return 'tried';
  if (stage !== 'trial' && stage !== 'moving') return 'usual';
  return random() < getRouteShare(rollout, route) ? 'tried' : 'usual';
}

/**
 * Returns the version of most of a service's targets; of two equally common ones the first by name.
 */
function getMostCommonVersion(records: readonly TargetRecord[]): string | undefined {
  const counts = new Map<string, number>();
  for (const { entry } of records) counts.set(entry.version, (counts.get(entry.version) ?? 0) + 1);
  const sorted = [...counts].sort(([a, m], [b, n]) => n - m || (a < b ? -1 : 1));
  return sorted[0]?.[0];
}

/** Selects the targets to use if the service has no rollout order. */
function selectWithoutOrder(
  { versions, targetsByService }: BalancerState,
  service: ServiceName,
  usable: readonly TargetRecord[],
  now: number,
): readonly TargetRecord[] {
  if (!versions.hasReadOrders) {
    const mainVersion = getMostCommonVersion(targetsByService.get(service) ?? []);
    return usable.filter(({ entry }) => entry.version === mainVersion);
  }
  return usable.filter(
    ({ entry, versionHeldUntil }) =>
      versionHeldUntil <= now && !versions.rolledBackVersions.has(`${service}|${entry.version}`),
  );
}

/** Returns the usable targets of the new version, or those of other versions if there are none. */
function preferNewVersion(
  usable: readonly TargetRecord[],
  { order }: ServiceRollout,
  inUse?: ReadonlySet<TargetId>,
): readonly TargetRecord[] {
  const onNewVersion = usable.filter(
    ({ entry }) => entry.version === order.version && inUse?.has(entry.id) !== false,
  );
  return onNewVersion.length > 0
    ? onNewVersion
    : usable.filter(({ entry }) => entry.version !== order.version);
}

/**
 * Selects those of the usable targets whose version a request may be sent to.
 * @param state - State of this entry VM.
 * @param pending - The request.
 * @param usable - Usable targets of its service.
 * @param now - Monotonic milliseconds.
 */
export function selectByVersion(
  state: BalancerState,
  { service, track }: Pick<PendingRequest, 'service' | 'track'>,
  usable: readonly TargetRecord[],
  now: number,
): readonly TargetRecord[] {
  const { versions, targetsByService } = state;
  if (!versions.isEnabled) return usable;
  const rollout = versions.rollouts.get(service);
  if (rollout === undefined) return selectWithoutOrder(state, service, usable, now);
  const { version } = rollout.order;
  switch (getStage(rollout, now)) {
    case 'completed': {
      // Targets of other versions may stop at any time without notice.
      const hasNew = (targetsByService.get(service) ?? []).some(
        ({ entry }) => entry.version === version,
      );
      return hasNew ? usable.filter(({ entry }) => entry.version === version) : usable;
    }
    case 'moved':
      return preferNewVersion(usable, rollout);
    case 'trial':
    case 'moving':
      if (track === 'tried') return preferNewVersion(usable, rollout, getTargetsInUse(rollout));
      break;
    default:
  }
  return usable.filter(({ entry }) => entry.version !== version);
}

/**
 * Whether a request of a trial is sent to the fullest target with free slots. Every second one is,
 * so that some targets run at full load while the others show whether a fault lies in the version
 * or in one target.
 * @param state - State of this entry VM.
 * @param pending - The request.
 * @param now - Monotonic milliseconds.
 */
export function shouldFillTargets(
  { versions }: BalancerState,
  { id, service, track }: Pick<PendingRequest, 'id' | 'service' | 'track'>,
  now: number,
): boolean {
  if (track !== 'tried' || id % 2 === 0) return false;
  const rollout = versions.rollouts.get(service);
  return rollout !== undefined && getStage(rollout, now) === 'trial';
}

/**
 * Moves a request to the current version, unless all requests are sent to the new one.
 * @param state - State of this entry VM.
 * @param pending - The request; changed here.
 * @param now - Monotonic milliseconds.
 */
export function leaveTrial(
  { versions }: BalancerState,
  pending: PendingRequest,
  now: number,
): void {
  const rollout = versions.rollouts.get(pending.service);
  if (rollout === undefined) return;
  const stage = getStage(rollout, now);
  if (stage !== 'moved' && stage !== 'completed') pending.track = 'usual';
}

/**
 * Whether a target has the version of a rollout that is not completed. The times of such targets
 * are not used to learn about the service.
 * @param state - State of this entry VM.
 * @param record - The target.
 */
export function isInRollout({ versions }: BalancerState, { entry }: TargetRecord): boolean {
  const rollout = versions.rollouts.get(entry.service);
  return rollout?.order.version === entry.version && rollout.order.state !== 'completed';
}

/**
 * Counts one answer for or against a version that is being rolled out.
 * @param state - State of this entry VM.
 * @param pending - The request.
 * @param attempt - The attempt that was answered, or is overdue.
 * @param isBad - Whether it failed or is overdue.
 */
export function recordVersionAnswer(
  state: BalancerState,
  { route }: PendingRequest,
  { target, load }: PendingAttempt,
  isBad: boolean,
): void {
  const rollout = state.versions.rollouts.get(target.entry.service);
  // A cold target is slow whatever its version.
  if (rollout === undefined || (load.isCold && isBad)) return;
  const isNew = target.entry.version === rollout.order.version;
  const targetIndex = Math.max(0, rollout.newTargets.indexOf(target.entry.id));
  rollout.evidence.recordAnswer(route.name, isNew ? targetIndex : undefined, isBad);
}

/** Whether an answer took far longer than the old targets' latest answers suggest. */
function isLate(
  { baseline }: ServiceRollout,
  { route }: PendingRequest,
  { expectedMs, workMs }: PendingAttempt,
  tookMs: number,
): boolean {
  const baselineRatio = (baseline.get(route.name) ?? workMs) / Math.max(1, workMs);
  const usualMs = expectedMs * Math.min(1, baselineRatio);
  return tookMs > Math.max(HEDGE_MIN_DELAY_MS, usualMs * HEDGE_DELAY_FACTOR);
}

/**
 * Counts an answer that arrived before it was overdue, for or against a version that is being
 * rolled out.
 * @param state - State of this entry VM.
 * @param pending - The request.
 * @param attempt - The attempt that was answered.
 * @param isSuccess - Whether the answer is a success.
 * @param tookMs - Time from the attempt to its answer, in milliseconds.
 */
export function recordVersionResult(
  state: BalancerState,
  pending: PendingRequest,
  attempt: PendingAttempt,
  isSuccess: boolean,
  tookMs: number,
): void {
  const { target, load, expectedMs, workMs } = attempt;
  const rollout = state.versions.rollouts.get(target.entry.service);
  if (rollout === undefined) return;
  const isBad = !isSuccess || isLate(rollout, pending, attempt, tookMs);
  recordVersionAnswer(state, pending, attempt, isBad);
  const { occupied, slots, slowdown, isCold } = load;
  // The times of other targets depend on further estimates.
  const isRepresentative = !isCold && slowdown <= MAX_NORMAL_SLOWDOWN && occupied <= slots / 2;
  if (!isSuccess || !isRepresentative || target.entry.version === rollout.order.version) return;
  rollout.baseline.add(pending.route.name, workMs * (tookMs / Math.max(1, expectedMs)));
}

/**
 * Holds back newly registered targets whose version is new to their service. For a service without
 * known targets, the most common version of the list counts as known.
 * @param state - State of this entry VM, with targets by service as they were before.
 * @param groups - Targets by service as they are now.
 * @param added - Ids of the newly registered targets.
 * @param now - Monotonic milliseconds.
 */
export function holdNewVersions(
  { versions, targetsByService }: BalancerState,
  groups: ReadonlyMap<ServiceName, readonly TargetRecord[]>,
  added: ReadonlySet<TargetId>,
  now: number,
): void {
  if (!versions.isEnabled) return;
  for (const [service, group] of groups) {
    const previous = targetsByService.get(service) ?? [];
    const knownVersions = new Set(previous.map(({ entry }) => entry.version));
    if (knownVersions.size === 0) knownVersions.add(getMostCommonVersion(group) ?? '');
    for (const record of group) {
      const isNew = added.has(record.entry.id) && !knownVersions.has(record.entry.version);
      if (isNew) record.versionHeldUntil = now + NEW_VERSION_HOLD_MS;
    }
  }
}

/** Counts open requests at targets of other versions than the one being rolled out. */
export function countOldVersionRequests(state: BalancerState, { order }: ServiceRollout): number {
  let count = 0;
  for (const { entry, outstanding } of state.targetsByService.get(order.service) ?? []) {
    if (entry.version !== order.version) count += outstanding;
  }
  return count;
}

/** State of a rollout for metrics. */
export interface RolloutStats {
  readonly version: string;
  readonly stage: VersionStage;
  /** Share of the requests that are sent to the new version. */
  readonly share: number;
  /** Answers from targets of old versions and of the new one. */
  readonly counts: Readonly<Record<'old' | 'new', AnswerCounts>>;
}

const FIXED_SHARES: Readonly<Partial<Record<VersionStage, number>>> = {
  paused: 0,
  stopped: 0,
  moved: 1,
  completed: 1,
};

/**
 * Returns the rollouts that this VM knows, by service.
 * @param state - State of this entry VM.
 * @param now - Monotonic milliseconds.
 */
export function getRolloutStats(
  { versions }: BalancerState,
  now: number,
): ReadonlyMap<ServiceName, RolloutStats> {
  const figures = new Map<ServiceName, RolloutStats>();
  for (const [service, rollout] of versions.rollouts) {
    const stage = getStage(rollout, now);
    const share = FIXED_SHARES[stage] ?? rollout.guidance?.share ?? 0;
    const { version } = rollout.order;
    figures.set(service, { version, stage, share, counts: rollout.evidence.versionTotals });
  }
  return figures;
}

/** Applies the rollout orders that were read. */
export function handleRollouts(
  state: BalancerState,
  { orders }: RolloutsRead,
  { now }: BalancerContext,
): BalancerEffect[] {
  const changed = state.versions.applyOrders(orders, now);
  return changed.map(({ order, newTargets }) => {
    state.versions.sortNewTargets(order.service, state.targetsByService.get(order.service) ?? []);
    const { id, service, version, durationMs, state: rolloutState = 'ordered' } = order;
    const fields = { order: id, service, version, durationMs, state: rolloutState };
    return {
      kind: 'log',
      event: 'rollout.state',
      fields: { ...fields, newTargets: newTargets.length },
    };
  });
}

/** Applies a coordinator's guidance on a rollout. */
export function handleGuidance(
  state: BalancerState,
  { order, guidance, until }: RolloutGuided,
  { now }: BalancerContext,
): BalancerEffect[] {
  const rollout = [...state.versions.rollouts.values()].find((each) => each.order.id === order);
  if (rollout === undefined) return [];
  const before = getStage(rollout, now);
  if (guidance.phase === 'stopped') rollout.isStopped = true;
  rollout.guidance = guidance;
  rollout.guidedUntil = until;
  const stage = getStage(rollout, now);
  if (stage === before) return [];
  const { service, version } = rollout.order;
  const fields = { order, service, version, stage, before, share: guidance.share };
  return [{ kind: 'log', event: 'rollout.stage', fields }];
}
