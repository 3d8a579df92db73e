import type { Context } from '../Context.js';
import type { Effect } from '../effects.js';
import type { EntryState } from '../EntryState.js';
import type { CorePart, EventOf } from '../Handler.js';
import { expireHandovers, handleHandoverDrained } from './handover.js';
import { getLatencies } from './latencies.js';
import { handleProbeEnded, probeIdleTargets } from './probes.js';
import { cancelOnColdTargets } from './cancelOnColdTargets.js';
import { refreshService } from './refreshTargets.js';
import { updateReleasedTarget } from './updateReleasedTarget.js';
import { updateSlowFlag } from './slowness.js';
import { turnReturnedZonesCold } from './returnedZones.js';

function handleConfigurationAdopted(
  state: EntryState,
  event: EventOf<'configurationAdopted'>,
  context: Context,
): Effect[] {
  for (const service of event.changed) refreshService(state, service, context);
  return turnReturnedZonesCold(state, context);
}

function handlePartitionsChanged(state: EntryState, _event: unknown, context: Context): Effect[] {
  for (const service of state.configuration.services.keys()) {
    refreshService(state, service, context);
  }
  return [];
}

function handleConnectionChanged(state: EntryState, event: EventOf<'connectionChanged'>): Effect[] {
  const record = state.targets.records.get(event.target);
  if (record === undefined) return [];
  record.connectionsKnown = true;
  record.connections = Math.max(0, record.connections + (event.change === 'opened' ? 1 : -1));
  return [];
}

function runTargetsJob(state: EntryState, context: Context): Effect[] {
  const effects: Effect[] = [];
  for (const record of state.targets.records.values()) {
    if (record.hold === 'removed') {
      if (record.outstanding.size === 0) effects.push(...updateReleasedTarget(state, record));
    } else if (record.slow || record.outstanding.size > 0) {
      updateSlowFlag(record, getLatencies(state, record.config.service), context.now);
    }
  }
  effects.push(...cancelOnColdTargets(state, context.now));
  return effects;
}

function runHousekeeping(state: EntryState, context: Context): Effect[] {
  expireHandovers(state, context.now);
  return [];
}

/** Manages the limits, phases and probes of the targets that this process holds. */
export const targetsPart: CorePart = {
  handlers: {
    configurationAdopted: handleConfigurationAdopted,
    partitionsGained: handlePartitionsChanged,
    partitionsLost: handlePartitionsChanged,
    connectionChanged: handleConnectionChanged,
    probeEnded: handleProbeEnded,
  },
  messages: { handoverDrained: handleHandoverDrained },
  jobs: { targets: runTargetsJob, probes: probeIdleTargets, housekeeping: runHousekeeping },
};
