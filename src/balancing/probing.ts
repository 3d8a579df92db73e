import type { BalancerContext, BalancerState } from './BalancerState.js';
import { drawTargets } from './candidates.js';
import type { BalancerEffect, Destination } from './effects.js';
import type { Journey, ProbeRound } from './Journey.js';
import { askPermit, maySend, isExhausted } from './limits.js';
import {
  FIRST_PROBES,
  FURTHER_PROBES,
  PREFERRED_ROUNDS,
  PREFERRED_TARGETS,
  PROBE_ROUND_MS,
  READING_FRESH_MS,
} from './settings.js';
import type { TargetRecord } from './TargetRecord.js';

/** Limited targets that permits are asked for in one round; those that are not used are returned. */
const PERMITS_ASKED = 3;

/** Where to reach a target. */
export function toDestination({ entry }: TargetRecord): Destination {
  return { target: entry.id, bornAt: entry.bornAt, address: entry.address };
}

function startProbe(state: BalancerState, record: TargetRecord, now: number): BalancerEffect {
  record.probeSentAt = now;
  const path = state.services.get(record.entry.service)?.healthPath ?? '/health';
  return { kind: 'probe', to: toDestination(record), path };
}

/**
 * Probes those of a service's targets whose reading is old, as far as the budget of probes allows.
 * @param state - What is known.
 * @param records - The targets, all of one service.
 * @param now - Monotonic milliseconds.
 */
export function probeStale(
  state: BalancerState,
  records: readonly TargetRecord[],
  now: number,
): BalancerEffect[] {
  const stale = records.filter(
    ({ reading, probeSentAt }) =>
      probeSentAt === undefined && (reading === undefined || now - reading.at > READING_FRESH_MS),
  );
  if (stale.length === 0) return [];
  const { service } = stale[0].entry;
  const targets = state.byService.get(service)?.length ?? 0;
  const allowed = state.probes.take(service, stale.length, targets, state.vms.length, now);
  return stale.slice(0, allowed).map((record) => startProbe(state, record, now));
}

/**
 * Asks some targets for their load, and for permits to send to those of them that are limited.
 * @param state - What is known.
 * @param journey - The request that looks for a target; its round begins here.
 * @param usable - Targets that it may go to, those that this VM prefers first.
 * @param context - Time and chance.
 */
export function startRound(
  state: BalancerState,
  journey: Journey,
  usable: readonly TargetRecord[],
  context: BalancerContext,
): BalancerEffect[] {
  const { now } = context;
  const round: ProbeRound = { startedAt: now, waitingFor: new Set(), permitsAsked: new Set() };
  journey.round = round;
  const effects: BalancerEffect[] = [];
  const isFirst = journey.rounds === 0;
  const pool = journey.rounds < PREFERRED_ROUNDS ? usable.slice(0, PREFERRED_TARGETS) : usable;
  journey.rounds += 1;
  const drawn = drawTargets(
    pool,
    isFirst ? FIRST_PROBES : FURTHER_PROBES,
    state.settings.zone,
    context,
  );
  const asked = drawn
    .filter((record) => !maySend(state, record, now))
    .slice(0, PERMITS_ASKED)
    .filter((record) => {
      effects.push(...askPermit(state, record, now));
      round.permitsAsked.add(record);
      return !maySend(state, record, now) && !isExhausted(state, record, now);
    });
  effects.push(
    ...probeStale(
      state,
      drawn.filter((record) => maySend(state, record, now)),
      now,
    ),
  );
  for (const record of drawn) {
    if (record.probeSentAt === undefined && !asked.includes(record)) continue;
    round.waitingFor.add(record.entry.id);
    record.probeWaiters.add(journey.request);
  }
  effects.push({ kind: 'wake', request: journey.request, at: now + PROBE_ROUND_MS });
  return effects;
}
