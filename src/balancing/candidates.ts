import type { ZoneName } from '../core/model/index.js';
import type { BalancerContext, BalancerState } from './BalancerState.js';
import { getCurve } from './BalancerState.js';
import { isAdmitted } from './admission.js';
import { getColdOwners } from './ColdAllowance.js';
import type { Expectation } from './expectedTime.js';
import { getExpectation } from './expectedTime.js';
import type { Journey } from './Journey.js';
import { maySend, isExhausted } from './limits.js';
import { GOOD_SLOWDOWN, READING_FRESH_MS } from './settings.js';
import type { TargetRecord } from './TargetRecord.js';
import { getScores } from './TargetRecord.js';
import { isFilling, selectVersion } from './versions.js';

/**
 * A target of this VM's own availability zone is probed so many times as often as another of those
 * it prefers: bytes between zones are paid for, and the way is shorter.
 */
const OWN_ZONE_WEIGHT = 3;

/** A target whose moving average of failures is below this one counts as sound. */
const SOUND_FAILURES = 0.1;

/** A target that failed always is drawn so many times less often, and once more, than one that did not. */
const FAILURE_AVERSION = 8;

/** A target that a request may go to now. */
export interface Candidate {
  readonly record: TargetRecord;
  readonly expected: Expectation;
  /** Whether nothing better is worth waiting for. */
  readonly isGood: boolean;
}

/**
 * Targets of a request's service that may be sent to at all, without those it was sent to already.
 * @param state - What is known.
 * @param journey - The request.
 * @param now - Monotonic milliseconds.
 */
export function getUsable(
  state: BalancerState,
  journey: Journey,
  now: number,
): readonly TargetRecord[] {
  const usable = (state.byService.get(journey.service) ?? []).filter(
    (record) =>
      !record.entry.isDraining &&
      record.deadUntil <= now &&
      !state.zonesOut.has(record.entry.zone) &&
      !journey.tried.has(record.entry.id) &&
      !isExhausted(state, record, now),
  );
  return selectVersion(state, journey, usable, now);
}

/** A cold target takes requests from a few entry VMs only, at a bounded rate. */
function isBarredByCold(state: BalancerState, record: TargetRecord, now: number): boolean {
  if (record.coldUntil <= now) return false;
  const { id, service } = record.entry;
  if (!getColdOwners(id, state.vms).includes(state.settings.vm)) return true;
  const perSecond = state.services.get(service)?.coldRequestsPerSecond ?? 0;
  return !state.cold.has(id, perSecond, now);
}

/** Work takes no longer on a target with some requests than on an idle one, up to the last slots. */
function isGood(record: TargetRecord, expected: Expectation, now: number): boolean {
  const { reading } = record;
  if (expected.place !== 'free' || reading === undefined || record.coldUntil > now) return false;
  const { failures, slowness } = getScores(record, now);
  const isSound = reading.isHealthy && failures < SOUND_FAILURES && slowness < GOOD_SLOWDOWN;
  return isSound && expected.isRoomy && reading.slowdown <= GOOD_SLOWDOWN;
}

/**
 * The best of the targets whose load was read lately and that the request may go to now.
 * @param state - What is known.
 * @param journey - The request.
 * @param context - Time and chance.
 * @param maxAgeMs - Oldest reading that counts.
 */
export function findBest(
  state: BalancerState,
  journey: Journey,
  context: BalancerContext,
  maxAgeMs = READING_FRESH_MS,
): Candidate | undefined {
  const { now } = context;
  const workMs = state.work.get(journey.route);
  const curve = getCurve(state, journey.service);
  const fills = isFilling(state, journey, now);
  let best: Candidate | undefined;
  let bestCost = Number.POSITIVE_INFINITY;
  for (const record of getUsable(state, journey, now)) {
    const { reading } = record;
    if (reading === undefined || now - reading.at > maxAgeMs) continue;
    if (isBarredByCold(state, record, now) || !maySend(state, record, now)) continue;
    const expected = getExpectation(record, journey.route, workMs, curve, now);
    if (!isAdmitted(journey, { record, expected }, workMs, now)) continue;
    // Targets that look alike are told apart by chance, or all entry VMs take the same one.
    const spread = 1 + 0.05 * context.random();
    const cost = fills ? -expected.basis.busy * spread : expected.costMs * spread;
    if (cost >= bestCost) continue;
    bestCost = cost;
    best = { record, expected, isGood: fills || isGood(record, expected, now) };
  }
  return best;
}

/**
 * Draws targets to probe, those that failed or were slow lately less often.
 * @param pool - Targets that may be sent to.
 * @param count - How many to draw.
 * @param zone - Availability zone of this VM.
 * @param context - Time and chance.
 */
export function drawTargets(
  pool: readonly TargetRecord[],
  count: number,
  zone: ZoneName,
  context: BalancerContext,
): TargetRecord[] {
  if (pool.length <= count) return [...pool];
  return pool
    .map((record) => {
      const { failures, slowness } = getScores(record, context.now);
      const near = record.entry.zone === zone ? OWN_ZONE_WEIGHT : 1;
      const weight = near / ((1 + FAILURE_AVERSION * failures) * Math.max(1, slowness));
      return { record, key: context.random() ** (1 / weight) };
    })
    .sort((a, b) => b.key - a.key)
    .slice(0, count)
    .map(({ record }) => record);
}
