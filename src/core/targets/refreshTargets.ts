import { getService, getTargetsOf } from '../configuration/index.js';
import type { Context } from '../Context.js';
import type { EntryState } from '../EntryState.js';
import { getPartition } from '../fleet/index.js';
import type { PartitionId, ServiceConfig, ServiceName, TargetConfig } from '../model/index.js';
import { applyTargetHandover } from './handover.js';
import type { LocalTarget } from './TargetsState.js';

/** Creates the record of a newly held target. It starts cold, because its state is unknown. */
function createLocalTarget(
  config: TargetConfig,
  service: ServiceConfig,
  partition: PartitionId,
  now: number,
): LocalTarget {
  return {
    config,
    service,
    partition,
    phase: 'cold',
    limit: 1,
    outstanding: new Map(),
    coldSince: now,
    goodAnswers: 0,
    slowScore: 0,
    slow: false,
    failures: 0,
    avoidUntil: 0,
    pausedUntil: 0,
    bootSince: 0,
    loadLoweredAt: 0,
    inherited: 0,
    inheritedUntil: 0,
    connections: 0,
    connectionsKnown: false,
    usedAt: now,
    probing: false,
    // Starts empty: budget that the previous holder saved up is not carried over.
    probeBudgetMs: 0,
    probeBudgetAt: now,
  };
}

/** Resumes a target that was removed while requests were outstanding; they still take slots. */
function reactivateTarget(record: LocalTarget, now: number): void {
  record.hold = undefined;
  record.phase = 'cold';
  record.coldSince = now;
  record.limit = 1;
  record.goodAnswers = 0;
  record.probeBudgetMs = 0;
  record.probeBudgetAt = now;
}

function refreshTarget(
  state: EntryState,
  service: ServiceConfig,
  config: TargetConfig,
  now: number,
): LocalTarget | undefined {
  const { targets, fleet, settings } = state;
  const partition = getPartition(settings, config);
  if (!fleet.granted.has(partition)) return undefined;
  const known = targets.records.get(config.id);
  const isUnchanged = known?.config.address === config.address && known.partition === partition;
  const record =
    known !== undefined && isUnchanged ? known : createLocalTarget(config, service, partition, now);
  if (record.hold === 'removed') reactivateTarget(record, now);
  record.config = config;
  record.service = service;
  record.limit = Math.min(record.limit, service.capacity.slots);
  targets.records.set(config.id, record);
  const pending = targets.handovers.get(config.id);
  if (pending !== undefined) {
    targets.handovers.delete(config.id);
    applyTargetHandover(record, pending.handover, now);
  }
  return record;
}

/**
 * Updates the targets of a service to its configuration and the partitions that this process holds.
 * A target that is no longer listed gets no new requests; those outstanding there may finish.
 * @param state - The process's state.
 * @param name - The service's name.
 * @param context - Current time and random source.
 */
export function refreshService(state: EntryState, name: ServiceName, context: Context): void {
  const { targets } = state;
  const service = getService(state, name);
  const configs = service === undefined ? [] : getTargetsOf(state, name);
  const heldTargets: LocalTarget[] = [];
  for (const config of configs) {
    const record = service && refreshTarget(state, service, config, context.now);
    if (record !== undefined) heldTargets.push(record);
  }
  for (const record of targets.byService.get(name) ?? []) {
    if (!heldTargets.includes(record)) record.hold = 'removed';
  }
  if (service === undefined) {
    targets.byService.delete(name);
    targets.latencies.delete(name);
  } else {
    targets.byService.set(name, heldTargets);
  }
}
