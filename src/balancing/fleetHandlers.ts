import type { ServiceName } from '../core/model/index.js';
import type { BalancerContext, BalancerState } from './BalancerState.js';
import type { BalancerEffect } from './effects.js';
import type { ProbeEnded, TableRead, TargetsRead, VmsChanged, ZonesOutRead } from './events.js';
import { markDead } from './learning.js';
import { forgetLimits, noteLimit } from './limits.js';
import type { TargetEntry } from './model.js';
import { place, placeWaiting } from './placing.js';
import { sortByPreference } from './preference.js';
import type { TargetRecord } from './TargetRecord.js';
import { createTargetRecord, noteOutcome } from './TargetRecord.js';
import { holdNewVersions } from './versions.js';

/** A configuration was read: it is adopted unless a later one is in force. */
export function handleTable(state: BalancerState, { table }: TableRead): BalancerEffect[] {
  // The store, a peer or a late answer may give an older one; going back would undo a change.
  if (state.table !== undefined && table.version <= state.table.version) return [];
  const before = state.table?.version;
  state.table = table;
  state.services = new Map(table.services.map((rules) => [rules.name, rules]));
  const { version, routes } = table;
  return [
    { kind: 'log', event: 'config.adopted', fields: { version, before, routes: routes.length } },
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

type TargetEvent = 'target.added' | 'target.removed' | 'target.draining';

function describe({ id, service, version, address, bornAt, zone, coldMs }: TargetEntry): string {
  return `${id} ${service} ${version} ${address} ${zone} born ${bornAt} cold ${coldMs}`;
}

/** One line for all targets that one reading is about: a VM that starts learns of hundreds at once. */
function logTargets(event: TargetEvent, entries: readonly TargetEntry[]): BalancerEffect[] {
  if (entries.length === 0) return [];
  const fields = { count: entries.length, targets: entries.map(describe) };
  return [{ kind: 'log', event, fields }];
}

/** Takes one registered target in; gives what is to be logged of it. */
function takeEntry(state: BalancerState, entry: TargetEntry, now: number): TargetEvent | undefined {
  const known = state.targets.get(entry.id);
  const isSame =
    known !== undefined &&
    known.entry.bornAt === entry.bornAt &&
    known.entry.address === entry.address &&
    known.entry.service === entry.service;
  if (!isSame) {
    const record = createTargetRecord(entry, now);
    state.targets.set(entry.id, record);
    for (const request of known?.probeWaiters ?? []) {
      state.journeys.get(request)?.round?.waitingFor.delete(entry.id);
    }
    return 'target.added';
  }
  const turnedDraining = entry.isDraining && !known.entry.isDraining;
  const changed = known.entry.coldMs !== entry.coldMs;
  known.entry = entry;
  if (changed && entry.coldMs > 0) known.coldUntil = Math.max(known.coldUntil, now + entry.coldMs);
  return turnedDraining ? 'target.draining' : undefined;
}

/** The registered targets were read. */
export function handleTargets(
  state: BalancerState,
  { targets, isPartial = false }: TargetsRead,
  context: BalancerContext,
): BalancerEffect[] {
  state.isPartial = isPartial;
  const removed: TargetEntry[] = [];
  const present = new Set(targets.map(({ id }) => id));
  for (const [id, record] of state.targets) {
    if (present.has(id)) continue;
    state.targets.delete(id);
    for (const request of record.probeWaiters) {
      state.journeys.get(request)?.round?.waitingFor.delete(id);
    }
    removed.push(record.entry);
  }
  const events = targets.map((entry) => takeEntry(state, entry, context.now));
  const select = (event: TargetEvent) => targets.filter((_, i) => events[i] === event);
  const added = select('target.added');
  const { vm, zone } = state.settings;
  const groups = groupByService(state.targets.values());
  holdNewVersions(state, groups, new Set(added.map(({ id }) => id)), context.now);
  state.byService = new Map(
    [...groups].map(([service, group]) => [service, sortByPreference(group, vm, zone)]),
  );
  for (const [service, group] of groups) state.versions.sortNew(service, group);
  state.cold.keepOnly(state.targets);
  forgetLimits(state, context.now);
  return [
    ...logTargets('target.removed', removed),
    ...logTargets('target.added', added),
    ...logTargets('target.draining', select('target.draining')),
  ];
}

/** Availability zones were taken out or back. */
export function handleZonesOut(state: BalancerState, { zones }: ZonesOutRead): BalancerEffect[] {
  const before = [...state.zonesOut].sort().join();
  state.zonesOut = new Set(zones);
  if ([...zones].sort().join() === before) return [];
  return [{ kind: 'log', event: 'zones.out', fields: { zones } }];
}

/** Entry VMs joined or left. */
export function handleVms(
  state: BalancerState,
  { vms, announced = vms }: VmsChanged,
): BalancerEffect[] {
  if (announced.join() !== state.announced.join()) state.announced = announced;
  if (vms.join() === state.vms.join()) return [];
  state.vms = vms;
  return [{ kind: 'log', event: 'vms.changed', fields: { count: vms.length } }];
}

function noteCold(record: TargetRecord, coldMs: number, now: number): BalancerEffect[] {
  const wasCold = record.coldUntil > now;
  record.coldUntil = coldMs > 0 ? now + coldMs : 0;
  if (wasCold || coldMs <= 0) return [];
  const { id, service } = record.entry;
  return [{ kind: 'log', event: 'target.cold', fields: { target: id, service, coldMs } }];
}

function takeProbeEnd(
  state: BalancerState,
  record: TargetRecord,
  { end }: ProbeEnded,
  now: number,
): BalancerEffect[] {
  if (end.kind === 'answered') {
    record.reading = end.reading;
    record.sentSinceReading = 0;
    // A probe's answer without a limit ends none: only answers to requests are sure to name it.
    const limits = end.limit === undefined ? [] : noteLimit(state, record, end.limit, now);
    const effects = [...limits, ...noteCold(record, end.coldMs, now)];
    if (record.deadTimes === 0) return effects;
    record.deadTimes = 0;
    const { id, service } = record.entry;
    return [...effects, { kind: 'log', event: 'target.alive', fields: { target: id, service } }];
  }
  if (end.kind === 'broken') {
    noteOutcome(record, true, now);
    return [];
  }
  return markDead(record, now);
}

/**
 * Places requests that waited for a probe of a target, or for a permit to send to it.
 * @param state - What is known.
 * @param record - The target.
 * @param context - Time and chance.
 */
export function placeWaiters(
  state: BalancerState,
  record: TargetRecord,
  context: BalancerContext,
): BalancerEffect[] {
  const waiters = [...record.probeWaiters];
  record.probeWaiters.clear();
  return waiters.flatMap((request) => {
    const journey = state.journeys.get(request);
    if (journey?.round === undefined) return [];
    journey.round.waitingFor.delete(record.entry.id);
    return place(state, journey, context);
  });
}

/** A probe is over: requests that wait for it are placed. */
export function handleProbeEnded(
  state: BalancerState,
  event: ProbeEnded,
  context: BalancerContext,
): BalancerEffect[] {
  const record = state.targets.get(event.target);
  if (record === undefined || record.entry.bornAt !== event.bornAt) return [];
  record.probeSentAt = undefined;
  const effects = takeProbeEnd(state, record, event, context.now);
  effects.push(...placeWaiters(state, record, context));
  if (event.end.kind === 'answered') {
    effects.push(...placeWaiting(state, record.entry.service, context));
  }
  return effects;
}
