import { isZoneOut } from '../configuration/index.js';
import type { Context } from '../Context.js';
import type { Effect } from '../effects.js';
import type { EntryState } from '../EntryState.js';
import { isConfigurationFresh, canDrive } from '../fleet/index.js';
import type { EventOf } from '../Handler.js';
import { turnCold } from './coldStart.js';
import { clearFailures, recordFailure } from './failures.js';
import { getMeanLatency } from './latencies.js';
import { applyLoadReport } from './loadReports.js';
import type { LocalTarget } from './TargetsState.js';

/** Shortest timeout of a probe, in milliseconds. */
const MIN_PROBE_TIMEOUT_MS = 200;
/** Timeout of a probe as a multiple of the service's mean latency. */
const PROBE_TIMEOUT_FACTOR = 10;

/**
 * Refills a target's probe budget by the declared share of its slot time since the last refill, up
 * to the cost of one probe. Only the holder probes, and it starts with an empty budget, so the
 * share bounds the probes of the whole fleet over any period, including handovers and restarts.
 */
function refillProbeBudget(record: LocalTarget, now: number): void {
  const { probe, capacity } = record.service;
  const earnedMs = (now - record.probeBudgetAt) * probe.budgetShare * capacity.slots;
  record.probeBudgetMs = Math.min(probe.costMs, record.probeBudgetMs + earnedMs);
  record.probeBudgetAt = now;
}

/** Whether a target may be probed: only while idle, since requests give the same information. */
function shouldProbe(state: EntryState, record: LocalTarget, now: number): boolean {
  if (record.probing || record.outstanding.size > 0 || record.hold === 'removed') return false;
  if (now < record.pausedUntil) return false;
  if (now < record.inheritedUntil && record.inherited > 0) return false;
  if (now - record.usedAt < record.service.probe.idleMs) return false;
  if (isZoneOut(state, record.config.zone)) return false;
  return canDrive(state, record.partition, now);
}

function startProbe(state: EntryState, record: LocalTarget, now: number): Effect[] {
  const { probe, name } = record.service;
  record.probeBudgetMs -= probe.costMs;
  record.probing = true;
  record.usedAt = now;
  const timeoutMs = Math.max(
    MIN_PROBE_TIMEOUT_MS,
    getMeanLatency(state, name) * PROBE_TIMEOUT_FACTOR,
  );
  const { id: target, address } = record.config;
  return [
    { kind: 'probe', target, address, path: probe.path, timeoutMs },
    { kind: 'count', metric: 'masticlink_probes_total', labels: { service: name }, by: 1 },
  ];
}

/**
 * Probes targets that have been idle for the configured time, within their probe budgets.
 * @param state - The process's state.
 * @param context - Current time and random source.
 */
export function probeIdleTargets(state: EntryState, context: Context): Effect[] {
  const { now } = context;
  if (!isConfigurationFresh(state, now)) return [];
  const effects: Effect[] = [];
  for (const record of state.targets.records.values()) {
    refillProbeBudget(record, now);
    const { costMs } = record.service.probe;
    if (record.probeBudgetMs < costMs || !shouldProbe(state, record, now)) continue;
    effects.push(...startProbe(state, record, now));
  }
  return effects;
}

/**
 * Handles the result of a probe. It may end a backoff or a drain but never raises a limit, since
 * reports may be misleading.
 */
export function handleProbeEnded(
  state: EntryState,
  event: EventOf<'probeEnded'>,
  context: Context,
): Effect[] {
  const record = state.targets.records.get(event.target);
  if (record === undefined || !record.probing) return [];
  const { now } = context;
  const sentAt = record.usedAt;
  record.probing = false;
  record.usedAt = now;
  if (event.end === 'healthy') {
    clearFailures(record);
    const effects: Effect[] = [];
    if (record.hold === 'draining' && event.load?.draining !== true) {
      record.hold = undefined;
      effects.push(...turnCold(record, 'restarted', now));
    }
    if (event.load !== undefined) {
      effects.push(...applyLoadReport(record, event.load, sentAt, now));
    }
    return effects;
  }
  recordFailure(record, now);
  if (event.end === 'unhealthy') {
    return event.load === undefined ? [] : applyLoadReport(record, event.load, sentAt, now);
  }
  return turnCold(record, event.end === 'reset' ? 'reset' : 'unreachable', now);
}
