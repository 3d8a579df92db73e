import type { BalancerContext, BalancerState } from './BalancerState.js';
import { getServiceCurve } from './BalancerState.js';
import { sampleTargets } from './sampling.js';
import type { BalancerEffect, Destination } from './effects.js';
import type { PendingRequest, ProbeRound } from './PendingRequest.js';
import { askPermit, isWithinLimit, isLimitExhausted } from './limits.js';
import {
  FIRST_ROUND_PROBES,
  LATER_ROUND_PROBES,
  PREFERRED_ROUND_COUNT,
  PREFERRED_TARGET_COUNT,
  PROBE_ROUND_TIMEOUT_MS,
  FRESH_READING_MAX_AGE_MS,
} from './settings.js';
import type { TargetRecord } from './TargetRecord.js';
import { isDraining, isPaused } from './TargetRecord.js';
import { getZoneOccupancy } from './zonePressure.js';

/**
 * Maximum number of limited targets for which one round requests permits; unused ones are returned.
 */
const MAX_PERMITS_PER_ROUND = 3;

/** Returns the address of a target, with the identity that is expected there. */
export function toDestination({ entry }: TargetRecord): Destination {
  return { target: entry.id, bornAt: entry.bornAt, address: entry.address };
}

/**
 * Probes a target, whatever the probe budget is.
 * @param state - State of this entry VM.
 * @param record - The target; it must have no probe in flight.
 * @param now - Monotonic milliseconds.
 */
export function startProbe(
  state: BalancerState,
  record: TargetRecord,
  now: number,
): BalancerEffect {
  record.probeSentAt = now;
  const path = state.services.get(record.entry.service)?.healthPath ?? '/health';
  return { kind: 'probe', to: toDestination(record), path };
}

/**
 * Probes the targets of a service whose readings are not fresh, as far as the probe budget allows.
 * @param state - State of this entry VM.
 * @param records - The targets, all of one service.
 * @param now - Monotonic milliseconds.
 */
export function probeStaleTargets(
  state: BalancerState,
  records: readonly TargetRecord[],
  now: number,
): BalancerEffect[] {
  const stale = records.filter((record) => {
    const { reading, probeSentAt } = record;
    const isStale = reading === undefined || now - reading.at > FRESH_READING_MAX_AGE_MS;
    const isClosed = isPaused(record, now) || isDraining(record);
    return isStale && probeSentAt === undefined && !isClosed;
  });
  if (stale.length === 0) return [];
  const { service } = stale[0].entry;
  const targets = state.targetsByService.get(service)?.length ?? 0;
  const allowed = state.probeBudget.take(service, stale.length, targets, state.liveVms.length, now);
  return stale.slice(0, allowed).map((record) => startProbe(state, record, now));
}

/**
 * Samples targets that this VM prefers, a share of them in other zones while its own zone is busier.
 */
function samplePreferred(
  state: BalancerState,
  { service, route }: PendingRequest,
  usable: readonly TargetRecord[],
  count: number,
  context: BalancerContext,
): TargetRecord[] {
  const { settings, zonePressure, workTimes } = state;
  const { zone } = settings;
  const own = usable.filter((record) => record.entry.zone === zone);
  const remote = usable.filter((record) => record.entry.zone !== zone);
  // A VM that prefers targets of other zones anyway, for want of its own, has nothing to decide.
  if (own.length < PREFERRED_TARGET_COUNT || remote.length === 0) {
    return sampleTargets(usable.slice(0, PREFERRED_TARGET_COUNT), count, route, zone, context);
  }
  const preferredOwn = own.slice(0, PREFERRED_TARGET_COUNT);
  const preferredRemote = remote.slice(0, PREFERRED_TARGET_COUNT);
  const curve = getServiceCurve(state, service);
  const relativeObjective = route.objectiveMs / workTimes.get(route);
  const occupancy = getZoneOccupancy(
    [...preferredOwn, ...preferredRemote],
    zone,
    (slots) => curve.getBestOccupancy(slots, relativeObjective),
    context.now,
  );
  zonePressure.update(service, occupancy, remote.length / usable.length, context.now);
  const share = zonePressure.getShare(service);
  let remoteCount = 0;
  if (share > 0) for (let i = 0; i < count; i++) if (context.random() < share) remoteCount += 1;
  return [
    ...sampleTargets(preferredOwn, count - remoteCount, route, zone, context),
    ...sampleTargets(preferredRemote, remoteCount, route, zone, context),
  ];
}

/**
 * Starts a round: samples some targets, probes them, and requests permits for those with a limit.
 * @param state - State of this entry VM.
 * @param pending - The request that looks for a target; its round is set here.
 * @param usable - Targets that the request may be sent to, sorted by preference.
 * @param context - Clock and random source.
 */
export function startProbeRound(
  state: BalancerState,
  pending: PendingRequest,
  usable: readonly TargetRecord[],
  context: BalancerContext,
): BalancerEffect[] {
  const { now } = context;
  const round: ProbeRound = { startedAt: now, awaitedTargets: new Set(), permitTargets: new Set() };
  pending.round = round;
  const effects: BalancerEffect[] = [];
  const isFirst = pending.roundCount === 0;
  const isPreferredRound = pending.roundCount < PREFERRED_ROUND_COUNT;
  pending.roundCount += 1;
  const count = isFirst ? FIRST_ROUND_PROBES : LATER_ROUND_PROBES;
  const { zone } = state.settings;
  const drawn = isPreferredRound
    ? samplePreferred(state, pending, usable, count, context)
    : sampleTargets(usable, count, pending.route, zone, context);
  const awaitingPermit = drawn
    .filter((record) => !isWithinLimit(state, record, now))
    .slice(0, MAX_PERMITS_PER_ROUND)
    .filter((record) => {
      effects.push(...askPermit(state, record, now));
      round.permitTargets.add(record);
      return !isWithinLimit(state, record, now) && !isLimitExhausted(state, record, now);
    });
  effects.push(
    ...probeStaleTargets(
      state,
      drawn.filter((record) => isWithinLimit(state, record, now)),
      now,
    ),
  );
  for (const record of drawn) {
    if (record.probeSentAt === undefined && !awaitingPermit.includes(record)) continue;
    round.awaitedTargets.add(record.entry.id);
    record.probeWaiters.add(pending.id);
  }
  effects.push({ kind: 'wake', request: pending.id, at: now + PROBE_ROUND_TIMEOUT_MS });
  return effects;
}
