import type { ServiceName } from '../core/model/index.js';
import type { BalancerContext, BalancerState } from './BalancerState.js';
import type { BalancerEffect } from './effects.js';
import type {
  ProbeEnded,
  ProbeResult,
  TableRead,
  TargetsRead,
  VmsChanged,
  ZonesOutRead,
} from './events.js';
import { recordRunGone } from './crashes.js';
import { refuseRemovedKeys } from './keyChecks.js';
import { markDead, recordTargetAnswer, recordTargetFailure } from './learning.js';
import { removeExpiredLimits, recordLimit } from './limits.js';
import type { TargetRegistration } from './model.js';
import { placeRequest, placeWaitingRequests } from './placing.js';
import { sortByPreference } from './preference.js';
import { applyQuotas, recordListedVms } from './quotaPermits.js';
import { recordStatements } from './statements.js';
import type { TargetListEvent } from './targetLog.js';
import { logTargets } from './targetLog.js';
import type { TargetRecord } from './TargetRecord.js';
import { createTargetRecord, isDraining, recordOutcome } from './TargetRecord.js';
import { holdNewVersions } from './versions.js';

/** Adopts a configuration that was read, unless it is older than the current one. */
export function handleTable(
  state: BalancerState,
  { table }: TableRead,
  context: BalancerContext,
): BalancerEffect[] {
  // The store, a peer or a late answer may send an older one; adopting it would undo a change.
  if (state.table !== undefined && table.version <= state.table.version) return [];
  const before = state.table?.version;
  state.table = table;
  state.services = new Map(table.services.map((rules) => [rules.name, rules]));
  state.keys = state.keys.update(table.organisations);
  applyQuotas(state, context);
  const { version, routes } = table;
  return [
    { kind: 'log', event: 'config.adopted', fields: { version, before, routes: routes.length } },
    ...refuseRemovedKeys(state, context),
  ];
}

function groupByService(records: Iterable<TargetRecord>): Map<ServiceName, TargetRecord[]> {
  const groups = new Map<ServiceName, TargetRecord[]>();
  for (const record of records) {
    const group = groups.get(record.entry.service) ?? [];
    group.push(record);
    groups.set(record.entry.service, group);
  }
  return groups;
}

function isSameProcess(a: TargetRegistration, b: TargetRegistration): boolean {
  return a.bornAt === b.bornAt && a.address === b.address && a.service === b.service;
}

/**
 * Keeps a registered drain although a later list may lack it: a VM that changes its source may read
 * an older list. Without a start time, such a list is the only sign of a new start.
 */
function recordRegisteredDrain({ entry, notices }: TargetRecord): void {
  if (entry.isDraining && entry.bornAt !== 0) notices.hasAnnouncedDrain = true;
}

/** Adds or updates one registered target; returns the event to log, if any. */
function applyRegistration(
  state: BalancerState,
  entry: TargetRegistration,
  now: number,
): TargetListEvent | undefined {
  const known = state.targets.get(entry.id);
  if (known === undefined || !isSameProcess(known.entry, entry)) {
    if (known !== undefined) state.formerNotices.keep(known.entry, known.notices, now);
    const record = createTargetRecord(entry, now, state.formerNotices.take(entry));
    recordRegisteredDrain(record);
    state.targets.set(entry.id, record);
    for (const request of known?.probeWaiters ?? []) {
      state.pendingRequests.get(request)?.round?.awaitedTargets.delete(entry.id);
    }
    return 'target.added';
  }
  const hasStartedDraining = entry.isDraining && !isDraining(known);
  const changed = known.entry.coldMs !== entry.coldMs;
  known.entry = entry;
  recordRegisteredDrain(known);
  if (changed && entry.coldMs > 0) known.coldUntil = Math.max(known.coldUntil, now + entry.coldMs);
  return hasStartedDraining ? 'target.draining' : undefined;
}

/** Updates the targets from a list that was read. */
export function handleTargets(
  state: BalancerState,
  { targets, isPartial = false }: TargetsRead,
  context: BalancerContext,
): BalancerEffect[] {
  state.isTargetListPartial = isPartial;
  const removed: TargetRegistration[] = [];
  const presentIds = new Set(targets.map(({ id }) => id));
  for (const [id, record] of state.targets) {
    if (presentIds.has(id)) continue;
    state.targets.delete(id);
    for (const request of record.probeWaiters) {
      state.pendingRequests.get(request)?.round?.awaitedTargets.delete(id);
    }
    state.formerNotices.keep(record.entry, record.notices, context.now);
    removed.push(record.entry);
  }
  state.formerNotices.removeExpired(context.now);
  const events = targets.map((entry) => applyRegistration(state, entry, context.now));
  const selectByEvent = (event: TargetListEvent) => targets.filter((_, i) => events[i] === event);
  const added = selectByEvent('target.added');
  const { vm, zone } = state.settings;
  const groups = groupByService(state.targets.values());
  holdNewVersions(state, groups, new Set(added.map(({ id }) => id)), context.now);
  state.targetsByService = new Map(
    [...groups].map(([service, group]) => [service, sortByPreference(group, vm, zone)]),
  );
  for (const [service, group] of groups) state.versions.sortNewTargets(service, group);
  state.coldRate.keepOnly(state.targets);
  removeExpiredLimits(state, context.now);
  return [
    ...logTargets('target.removed', removed),
    ...logTargets('target.added', added),
    ...logTargets('target.draining', selectByEvent('target.draining')),
  ];
}

/** Updates the availability zones that are out of service. */
export function handleZonesOut(state: BalancerState, { zones }: ZonesOutRead): BalancerEffect[] {
  const before = [...state.zonesOut].sort().join();
  state.zonesOut = new Set(zones);
  if ([...zones].sort().join() === before) return [];
  return [{ kind: 'log', event: 'zones.out', fields: { zones } }];
}

/** Updates the VMs that the store lists, by which limits are shared. */
function updateAnnouncedVms(
  state: BalancerState,
  announced: readonly string[],
  now: number,
): BalancerEffect[] {
  const isListed = announced.includes(state.settings.vm);
  state.areVmsKnown = true;
  state.retryBudget.recordVms(announced.length, now, isListed);
  if (announced.join() === state.announcedVms.join()) return [];
  state.announcedVms = announced;
  recordListedVms(state, now);
  const fields = { count: announced.length, isListed };
  return [{ kind: 'log', event: 'vms.listed', fields }];
}

/** Updates the entry VMs. */
export function handleVms(
  state: BalancerState,
  { vms, announced = vms, isPartial = false }: VmsChanged,
  { now }: BalancerContext,
): BalancerEffect[] {
  const lines = isPartial ? [] : updateAnnouncedVms(state, announced, now);
  if (vms.join() === state.liveVms.join()) return lines;
  state.liveVms = vms;
  state.helpers.keepOnly(new Set(vms));
  return [...lines, { kind: 'log', event: 'vms.changed', fields: { count: vms.length } }];
}

function updateColdUntil(record: TargetRecord, coldMs: number, now: number): BalancerEffect[] {
  const wasCold = record.coldUntil > now;
  record.coldUntil = coldMs > 0 ? now + coldMs : 0;
  if (wasCold || coldMs <= 0) return [];
  const { id, service } = record.entry;
  return [{ kind: 'log', event: 'target.cold', fields: { target: id, service, coldMs } }];
}

/** Applies the result of a probe that the target answered, whether or not its load is readable. */
function applyAnsweredProbe(
  state: BalancerState,
  record: TargetRecord,
  end: Extract<ProbeResult, { kind: 'answered' | 'broken' }>,
  now: number,
): BalancerEffect[] {
  const isIdentified = end.kind === 'answered' && end.isAnonymous !== true;
  const heard = recordTargetAnswer(state, record, isIdentified, now);
  const stated = recordStatements(state, record, end, 'probe', now);
  if (end.kind === 'broken') {
    recordOutcome(record, true, now);
    return [...heard, ...stated];
  }

  record.reading = end.reading;
  record.sentSinceReading = 0;
  // A probe's result without a limit ends none: only answers to requests are sure to name it.
  const limits = end.limit === undefined ? [] : recordLimit(state, record, end.limit, now);
  const effects = [...heard, ...stated, ...limits, ...updateColdUntil(record, end.coldMs, now)];
  if (record.deadCount === 0) return effects;
  record.deadCount = 0;
  const { id, service } = record.entry;
  return [...effects, { kind: 'log', event: 'target.alive', fields: { target: id, service } }];
}

/**
 * Places requests that waited for a probe of a target, or for a permit to send to it.
 * @param state - State of this entry VM.
 * @param record - The target.
 * @param context - Clock and random source.
 */
export function placeProbeWaiters(
  state: BalancerState,
  record: TargetRecord,
  context: BalancerContext,
): BalancerEffect[] {
  const waiters = [...record.probeWaiters];
  record.probeWaiters.clear();
  return waiters.flatMap((request) => {
    const pending = state.pendingRequests.get(request);
    if (pending?.round === undefined) return [];
    pending.round.awaitedTargets.delete(record.entry.id);
    return placeRequest(state, pending, context);
  });
}

/** Applies the result of a probe, answered or not. */
function applyProbeResult(
  state: BalancerState,
  record: TargetRecord,
  end: ProbeResult,
  now: number,
): BalancerEffect[] {
  if (end.kind === 'answered' || end.kind === 'broken') {
    return applyAnsweredProbe(state, record, end, now);
  }
  if (end.kind === 'stranger') {
    return [...markDead(record, now), ...recordRunGone(state, record, now)];
  }
  const failure = recordTargetFailure(state, record, now);
  if (end.kind !== 'unanswered') return [...markDead(record, now), ...failure];
  recordOutcome(record, true, now);
  return failure;
}

/** Applies the result of a probe and places the requests that waited for it. */
export function handleProbeEnded(
  state: BalancerState,
  event: ProbeEnded,
  context: BalancerContext,
): BalancerEffect[] {
  const record = state.targets.get(event.target);
  if (record === undefined || record.entry.bornAt !== event.bornAt) return [];
  record.probeSentAt = undefined;
  const { end } = event;
  const effects = applyProbeResult(state, record, end, context.now);
  effects.push(...placeProbeWaiters(state, record, context));
  if (end.kind === 'answered') {
    effects.push(...placeWaitingRequests(state, record.entry.service, context));
  }
  return effects;
}
