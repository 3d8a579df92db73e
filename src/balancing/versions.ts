import type { ServiceName, TargetId } from '../core/model/index.js';
import type { BalancerContext, BalancerState } from './BalancerState.js';
import type { BalancerEffect } from './effects.js';
import type { RolloutGuided, RolloutsRead } from './events.js';
import type { Journey, Sending } from './Journey.js';
import type { AnswerCounts } from '../rollouts/index.js';
import type { ServiceRollout, VersionStage } from './ServiceVersions.js';
import { getRouteShare, getStage, getTargetsInUse } from './ServiceVersions.js';
import type { TargetRecord } from './TargetRecord.js';

/**
 * Targets of a version that a service did not have are left alone for so long while no order is known
 * that names it, in milliseconds: they register as it is given, and word of them may come sooner.
 */
const UNORDERED_HOLD_MS = 2_500;

/** Which version a request is for: the one in use, or the one that a rollout tries. */
export type VersionLane = 'usual' | 'tried';

/**
 * Draws whether a request is tried on the version that its service is moving to.
 * @param state - What is known.
 * @param service - Service that the request goes to.
 * @param route - Name of its route.
 * @param context - Time and chance.
 */
export function drawLane(
  { versions }: BalancerState,
  service: ServiceName,
  route: string,
  { now, random }: BalancerContext,
): VersionLane {
  const rollout = versions.rollouts.get(service);
  if (rollout === undefined) return 'usual';
  const stage = getStage(rollout, now);
  if (stage === 'moved' || stage === 'completed') return 'tried';
  if (stage !== 'trial' && stage !== 'moving') return 'usual';
  return random() < getRouteShare(rollout, route) ? 'tried' : 'usual';
}

/** The version that most of a service's targets have, the earlier one by name if two have as many. */
function getMainVersion(records: readonly TargetRecord[]): string | undefined {
  const counts = new Map<string, number>();
  for (const { entry } of records) counts.set(entry.version, (counts.get(entry.version) ?? 0) + 1);
  const sorted = [...counts].sort(([a, m], [b, n]) => n - m || (a < b ? -1 : 1));
  return sorted[0]?.[0];
}

/** Targets of versions that no order is about. */
function selectUnordered(
  { versions, byService }: BalancerState,
  service: ServiceName,
  usable: readonly TargetRecord[],
  now: number,
): readonly TargetRecord[] {
  if (!versions.isKnown) {
    const main = getMainVersion(byService.get(service) ?? []);
    return usable.filter(({ entry }) => entry.version === main);
  }
  return usable.filter(
    ({ entry, heldUntil }) =>
      heldUntil <= now && !versions.barred.has(`${service}|${entry.version}`),
  );
}

/** The new ones of some targets if there are any, else the old ones. */
function preferNew(
  usable: readonly TargetRecord[],
  { order }: ServiceRollout,
  inUse?: ReadonlySet<TargetId>,
): readonly TargetRecord[] {
  const fresh = usable.filter(
    ({ entry }) => entry.version === order.version && inUse?.has(entry.id) !== false,
  );
  return fresh.length > 0 ? fresh : usable.filter(({ entry }) => entry.version !== order.version);
}

/**
 * Of the targets that a request may go to, those whose version it may go to.
 * @param state - What is known.
 * @param journey - The request.
 * @param usable - Targets of its service.
 * @param now - Monotonic milliseconds.
 */
export function selectVersion(
  state: BalancerState,
  { service, lane }: Pick<Journey, 'service' | 'lane'>,
  usable: readonly TargetRecord[],
  now: number,
): readonly TargetRecord[] {
  const { versions, byService } = state;
  if (!versions.isUsed) return usable;
  const rollout = versions.rollouts.get(service);
  if (rollout === undefined) return selectUnordered(state, service, usable, now);
  const { version } = rollout.order;
  switch (getStage(rollout, now)) {
    case 'completed': {
      // Old targets are about to be stopped without notice, or were.
      const hasNew = (byService.get(service) ?? []).some(({ entry }) => entry.version === version);
      return hasNew ? usable.filter(({ entry }) => entry.version === version) : usable;
    }
    case 'moved':
      return preferNew(usable, rollout);
    case 'trial':
    case 'moving':
      if (lane === 'tried') return preferNew(usable, rollout, getTargetsInUse(rollout));
      break;
    default:
  }
  return usable.filter(({ entry }) => entry.version !== version);
}

/**
 * Whether a request of a trial goes to the fullest target with room. Every second one does, so that
 * some targets get their full load, while the others show whether it is the version or one target.
 * @param state - What is known.
 * @param journey - The request.
 * @param now - Monotonic milliseconds.
 */
export function isFilling(
  { versions }: BalancerState,
  { request, service, lane }: Pick<Journey, 'request' | 'service' | 'lane'>,
  now: number,
): boolean {
  if (lane !== 'tried' || request % 2 === 0) return false;
  const rollout = versions.rollouts.get(service);
  return rollout !== undefined && getStage(rollout, now) === 'trial';
}

/**
 * Has a request go to the usual version from now on, unless all requests go to the new one.
 * @param state - What is known.
 * @param journey - The request; changed here.
 * @param now - Monotonic milliseconds.
 */
export function leaveTrial({ versions }: BalancerState, journey: Journey, now: number): void {
  const rollout = versions.rollouts.get(journey.service);
  if (rollout === undefined) return;
  const stage = getStage(rollout, now);
  if (stage !== 'moved' && stage !== 'completed') journey.lane = 'usual';
}

/**
 * Whether a sending goes to the version that a running order is about: what such targets take says
 * nothing of the service's usual ones.
 * @param state - What is known.
 * @param record - The target.
 */
export function isOnTrial({ versions }: BalancerState, { entry }: TargetRecord): boolean {
  const rollout = versions.rollouts.get(entry.service);
  return rollout?.order.version === entry.version && rollout.order.state !== 'completed';
}

/**
 * Counts one answer for or against a version that is being tried.
 * @param state - What is known.
 * @param journey - The request.
 * @param sending - The sending that was answered, or takes too long.
 * @param isBad - Whether it failed or takes too long.
 */
export function noteVersionAnswer(
  state: BalancerState,
  { route }: Journey,
  { target, basis }: Sending,
  isBad: boolean,
): void {
  const rollout = state.versions.rollouts.get(target.entry.service);
  // A cold target is slow whatever its version.
  if (rollout === undefined || (basis.isCold && isBad)) return;
  const isNew = target.entry.version === rollout.order.version;
  const place = Math.max(0, rollout.newTargets.indexOf(target.entry.id));
  rollout.evidence.recordAnswer(route.name, isNew ? place : undefined, isBad);
}

/**
 * Leaves targets alone for a while that have just become known, if their version is new to the service.
 * A process that has just started takes the version that most targets have for the usual one.
 * @param state - What is known, with targets by service as they were before.
 * @param groups - Targets by service as they are now.
 * @param added - Ids of those that have just become known.
 * @param now - Monotonic milliseconds.
 */
export function holdNewVersions(
  { versions, byService }: BalancerState,
  groups: ReadonlyMap<ServiceName, readonly TargetRecord[]>,
  added: ReadonlySet<TargetId>,
  now: number,
): void {
  if (!versions.isUsed) return;
  for (const [service, group] of groups) {
    const before = byService.get(service) ?? [];
    const known = new Set(before.map(({ entry }) => entry.version));
    if (known.size === 0) known.add(getMainVersion(group) ?? '');
    for (const record of group) {
      const isNew = added.has(record.entry.id) && !known.has(record.entry.version);
      if (isNew) record.heldUntil = now + UNORDERED_HOLD_MS;
    }
  }
}

/** Requests at targets of other versions than the one that a service moves to. */
export function countOldRequests(state: BalancerState, { order }: ServiceRollout): number {
  let count = 0;
  for (const { entry, outstanding } of state.byService.get(order.service) ?? []) {
    if (entry.version !== order.version) count += outstanding;
  }
  return count;
}

/** What metrics tell of a rollout. */
export interface RolloutFigures {
  readonly version: string;
  readonly stage: VersionStage;
  /** Share of the requests that go to the new version. */
  readonly share: number;
  /** Answers of old and of new targets. */
  readonly counts: Readonly<Record<'old' | 'new', AnswerCounts>>;
}

const ALL_OR_NONE: Readonly<Partial<Record<VersionStage, number>>> = {
  paused: 0,
  stopped: 0,
  moved: 1,
  completed: 1,
};

/**
 * Rollouts that this VM knows of, by service.
 * @param state - What is known.
 * @param now - Monotonic milliseconds.
 */
export function getRolloutFigures(
  { versions }: BalancerState,
  now: number,
): ReadonlyMap<ServiceName, RolloutFigures> {
  const figures = new Map<ServiceName, RolloutFigures>();
  for (const [service, rollout] of versions.rollouts) {
    const stage = getStage(rollout, now);
    const share = ALL_OR_NONE[stage] ?? rollout.guidance?.share ?? 0;
    const { version } = rollout.order;
    figures.set(service, { version, stage, share, counts: rollout.evidence.versionTotals });
  }
  return figures;
}

/** The orders were read. */
export function handleRollouts(
  state: BalancerState,
  { orders }: RolloutsRead,
  { now }: BalancerContext,
): BalancerEffect[] {
  const changed = state.versions.take(orders, now);
  return changed.map(({ order, newTargets }) => {
    state.versions.sortNew(order.service, state.byService.get(order.service) ?? []);
    const { id, service, version, durationMs, state: rolloutState = 'ordered' } = order;
    const fields = { order: id, service, version, durationMs, state: rolloutState };
    return {
      kind: 'log',
      event: 'rollout.state',
      fields: { ...fields, newTargets: newTargets.length },
    };
  });
}

/** A coordinator told how far a rollout is. */
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
