import type { BalancerContext, BalancerState } from './BalancerState.js';
import { getServiceCurve } from './BalancerState.js';
import { isAdmitted, isSoundEnough } from './admission.js';
import { getColdOwners } from './ColdAllowance.js';
import type { ResponseEstimate } from './expectedTime.js';
import { estimateResponse } from './expectedTime.js';
import type { PendingRequest } from './PendingRequest.js';
import { isWithinLimit, isLimitExhausted } from './limits.js';
import { isOpenToPriority } from './priorities.js';
import { FRESH_READING_MAX_AGE_MS, MAX_HEALTHY_FAILURES, MAX_NORMAL_SLOWDOWN } from './settings.js';
import type { TargetRecord } from './TargetRecord.js';
import { getScores, isDraining, isPaused } from './TargetRecord.js';
import { shouldFillTargets, selectByVersion } from './versions.js';

/** A target that a request may be sent to now. */
export interface Candidate {
  readonly record: TargetRecord;
  readonly estimate: ResponseEstimate;
  /** Whether the request is sent at once instead of waiting for a better candidate. */
  readonly isGoodEnough: boolean;
}

/**
 * Returns the targets of a request's service that it may be sent to, without those it has tried.
 * @param state - State of this entry VM.
 * @param pending - The request.
 * @param now - Monotonic milliseconds.
 */
export function getUsableTargets(
  state: BalancerState,
  pending: PendingRequest,
  now: number,
): readonly TargetRecord[] {
  const usable = (state.targetsByService.get(pending.service) ?? []).filter(
    (record) =>
      !isDraining(record) &&
      record.deadUntil <= now &&
      !isPaused(record, now) &&
      !state.zonesOut.has(record.entry.zone) &&
      !pending.triedTargets.has(record.entry.id) &&
      !isLimitExhausted(state, record, now),
  );
  return selectByVersion(state, pending, usable, now);
}

/**
 * Whether a cold target is closed to this VM: only its owners may send to it, at a limited rate.
 */
function isBlockedWhileCold(state: BalancerState, record: TargetRecord, now: number): boolean {
  if (record.coldUntil <= now) return false;
  const { id, service } = record.entry;
  if (!state.areVmsKnown) return true;
  if (!getColdOwners(id, state.liveVms).includes(state.settings.vm)) return true;
  const perSecond = state.services.get(service)?.coldRequestsPerSecond ?? 0;
  return !state.coldRate.hasToken(id, perSecond, now);
}

/** Whether a target is healthy, warm, at normal speed, and has spare slots. */
function isGoodTarget(record: TargetRecord, estimate: ResponseEstimate, now: number): boolean {
  const { reading } = record;
  if (estimate.slot !== 'free' || reading === undefined || record.coldUntil > now) return false;
  const { failures, slowness } = getScores(record, now);
  const isSound =
    reading.isHealthy && failures < MAX_HEALTHY_FAILURES && slowness < MAX_NORMAL_SLOWDOWN;
  return isSound && estimate.hasSpareSlots && reading.slowdown <= MAX_NORMAL_SLOWDOWN;
}

function hasNormalSpeed({ reading }: TargetRecord): boolean {
  return reading !== undefined && reading.slowdown <= MAX_NORMAL_SLOWDOWN;
}

function getFewestFailures(records: readonly TargetRecord[], now: number): number {
  return Math.min(...records.map((record) => getScores(record, now).failures));
}

/**
 * Returns the cheapest of the targets with a recent load reading that the request may be sent to.
 * @param state - State of this entry VM.
 * @param pending - The request.
 * @param context - Clock and random source.
 * @param maxAgeMs - Maximum age of a reading, in milliseconds.
 */
export function findBestCandidate(
  state: BalancerState,
  pending: PendingRequest,
  context: BalancerContext,
  maxAgeMs = FRESH_READING_MAX_AGE_MS,
): Candidate | undefined {
  const { now } = context;
  const workMs = state.workTimes.get(pending.route);
  const curve = getServiceCurve(state, pending.service);
  const shouldFill = shouldFillTargets(state, pending, now);
  const usable = getUsableTargets(state, pending, now);
  const hasNormalTarget = usable.some(hasNormalSpeed);
  const fewestFailures = pending.route.isIdempotent ? 0 : getFewestFailures(usable, now);
  let best: Candidate | undefined;
  let bestCost = Number.POSITIVE_INFINITY;
  for (const record of usable) {
    const { reading } = record;
    if (reading === undefined || now - reading.at > maxAgeMs) continue;
    if (isBlockedWhileCold(state, record, now) || !isWithinLimit(state, record, now)) continue;
    const estimate = estimateResponse(record, pending.route, workMs, curve, now);
    if (!isAdmitted(pending, { record, estimate }, workMs, now)) continue;
    if (!isOpenToPriority(state, pending, { record, estimate }, hasNormalTarget, now)) continue;
    if (!isSoundEnough(pending, estimate, fewestFailures, now)) continue;
    // Jitter breaks ties, so that not all entry VMs choose the same target.
    const jitter = 1 + 0.05 * context.random();
    const cost = shouldFill ? -estimate.load.occupied * jitter : estimate.costMs * jitter;
    if (cost >= bestCost) continue;
    bestCost = cost;
    best = { record, estimate, isGoodEnough: shouldFill || isGoodTarget(record, estimate, now) };
  }
  return best;
}
