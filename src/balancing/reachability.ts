import type { ServiceName } from '../core/model/index.js';
import type { BalancerContext, BalancerState } from './BalancerState.js';
import type { BalancerEffect } from './effects.js';
import { startProbe, toDestination } from './probing.js';
import type { ServiceReach } from './ServiceReach.js';
import { createServiceReach } from './ServiceReach.js';
import type { TargetRecord } from './TargetRecord.js';
import { isDraining, isPaused } from './TargetRecord.js';

/**
 * Number of targets that must fail in a row, without an answer of any other, for a service to count
 * as out of reach; all of them if it has fewer.
 */
const MIN_FAILED_TARGETS = 5;

/**
 * Time after which an unanswered probe suggests that the path is lost, in milliseconds. It is longer
 * than the pauses of a busy process.
 */
const OVERDUE_PROBE_MS = 150;

/** How long an answer shows that the path is sound, in milliseconds. */
const SOUND_PATH_MS = 500;

/** Interval and number of the probes by which the end of a cut is noticed. */
const RECOVERY_PROBE_INTERVAL_MS = 100;
const RECOVERY_PROBES = 2;

/**
 * How far a service is out of this VM's reach: not at all, probably, since probes take longer than
 * usual, or certainly, since targets failed one after the other.
 */
export type ReachVerdict = 'inReach' | 'inDoubt' | 'lost';

/**
 * Returns what this VM has heard from a service's targets.
 * @param state - State of this entry VM.
 * @param service - The service.
 */
export function getServiceReach({ reach }: BalancerState, service: ServiceName): ServiceReach {
  let found = reach.get(service);
  if (found === undefined) {
    found = createServiceReach();
    reach.set(service, found);
  }
  return found;
}

/**
 * Whether any target of a service has answered since a time.
 * @param state - State of this entry VM.
 * @param service - The service.
 * @param at - Monotonic milliseconds.
 */
export function hasHeardSince(state: BalancerState, service: ServiceName, at: number): boolean {
  return getServiceReach(state, service).heardAt >= at;
}

/**
 * Whether a failure may be held against a target: an answer of any target of its service shows that
 * this VM's path was sound. A reset arrives before other targets have answered, so an answer from
 * shortly before the attempt counts too.
 * @param state - State of this entry VM.
 * @param service - The service.
 * @param sentAt - When the attempt was sent; monotonic milliseconds.
 */
export function isPathSound(state: BalancerState, service: ServiceName, sentAt: number): boolean {
  return hasHeardSince(state, service, sentAt - SOUND_PATH_MS);
}

/** Targets of a service that would answer if this VM reached them. */
function getExpectedTargets(
  { targetsByService, zonesOut }: BalancerState,
  service: ServiceName,
  now: number,
): readonly TargetRecord[] {
  return (targetsByService.get(service) ?? []).filter(
    (record) => !isDraining(record) && !isPaused(record, now) && !zonesOut.has(record.entry.zone),
  );
}

function countNeeded(expected: readonly TargetRecord[]): number {
  return Math.min(MIN_FAILED_TARGETS, expected.length);
}

/**
 * Returns whether a service is out of this VM's reach.
 * @param state - State of this entry VM.
 * @param service - The service.
 * @param now - Monotonic milliseconds.
 */
export function getReachVerdict(
  state: BalancerState,
  service: ServiceName,
  now: number,
): ReachVerdict {
  const reach = getServiceReach(state, service);
  if (reach.lostAt !== undefined) return 'lost';
  // Just after its start, a VM opens all connections at once, and answers take longer.
  if (!Number.isFinite(reach.heardAt)) return 'inReach';
  if (now - reach.heardAt < OVERDUE_PROBE_MS) return 'inReach';
  const expected = getExpectedTargets(state, service, now);
  if (expected.length === 0) return 'inReach';
  // Probes that were sent before the latest answer show that targets are slow, not out of reach.
  const silent = expected.filter(
    ({ entry, probeSentAt = Number.NEGATIVE_INFINITY }) =>
      reach.failed.has(entry.id) ||
      (probeSentAt > reach.heardAt && now - probeSentAt >= OVERDUE_PROBE_MS),
  );
  return silent.length >= countNeeded(expected) ? 'inDoubt' : 'inReach';
}

/**
 * Records that a target took no connection or gave no answer.
 * @param state - State of this entry VM.
 * @param record - The target.
 * @param now - Monotonic milliseconds.
 */
export function recordUnreached(
  state: BalancerState,
  record: TargetRecord,
  now: number,
): BalancerEffect[] {
  const { service } = record.entry;
  const reach = getServiceReach(state, service);
  reach.failed.add(record.entry.id);
  if (reach.lostAt !== undefined) return [];
  const expected = getExpectedTargets(state, service, now);
  const failed = expected.filter(({ entry }) => reach.failed.has(entry.id)).length;
  if (expected.length === 0 || failed < countNeeded(expected)) return [];
  reach.lostAt = now;
  const silentMs = Number.isFinite(reach.heardAt) ? Math.round(now - reach.heardAt) : undefined;
  return [
    // What was sent on them during a cut would be sent again only after a long time.
    { kind: 'dropIdleConnections', targets: expected.map(toDestination) },
    { kind: 'log', event: 'service.unreachable', fields: { service, failed, silentMs } },
  ];
}

/**
 * Records that a target has answered. What was held against the service's targets while it was out
 * of reach was a fault of this VM's own path.
 * @param state - State of this entry VM.
 * @param record - The target.
 * @param now - Monotonic milliseconds.
 */
export function recordReached(
  state: BalancerState,
  record: TargetRecord,
  now: number,
): BalancerEffect[] {
  const { service } = record.entry;
  const reach = getServiceReach(state, service);
  reach.heardAt = now;
  reach.failed.clear();
  if (reach.lostAt === undefined) return [];
  const lostMs = Math.round(now - reach.lostAt);
  reach.lostAt = undefined;
  for (const each of state.targetsByService.get(service) ?? []) {
    each.deadUntil = 0;
    each.deadCount = 0;
    each.failures = 0;
    each.slowness = 1;
  }
  return [{ kind: 'log', event: 'service.reachable', fields: { service, lostMs } }];
}

/**
 * Probes a few targets of a service that is out of reach, as its requests go elsewhere meanwhile.
 * @param state - State of this entry VM.
 * @param service - The service.
 * @param context - Clock and random source.
 */
export function probeForRecovery(
  state: BalancerState,
  service: ServiceName,
  { now, random }: BalancerContext,
): BalancerEffect[] {
  const reach = getServiceReach(state, service);
  if (reach.lostAt === undefined || now < reach.nextProbeAt) return [];
  reach.nextProbeAt = now + RECOVERY_PROBE_INTERVAL_MS;
  const idle = getExpectedTargets(state, service, now).filter(
    ({ probeSentAt }) => probeSentAt === undefined,
  );
  return idle
    .map((record) => ({ record, key: random() }))
    .sort((a, b) => a.key - b.key)
    .slice(0, RECOVERY_PROBES)
    .map(({ record }) => startProbe(state, record, now));
}
