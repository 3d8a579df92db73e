import type { CrashLedgerOptions, SuspectReport, SuspectVerdict } from '../../crashes/index.js';
import type { Context } from '../Context.js';
import type { Effect } from '../effects.js';
import type { EntryState } from '../EntryState.js';
import type { ServiceName, TargetId } from '../model/index.js';

/**
 * Crashes are counted by the one holder that sends to a target, and a suspect runs alone, so that
 * two of them are proof enough.
 */
export const LEDGER_OPTIONS: CrashLedgerOptions = {
  minCrashesToRefuse: 2,
  suspicionTtlMs: 60_000,
  firstRefusalMs: 300_000,
};

/** Time between two broadcasts of suspects, in milliseconds. */
const BROADCAST_INTERVAL_MS = 10_000;

/** Most suspects in such a broadcast. */
const MAX_BROADCAST_SUSPECTS = 20;

/** Most suspects that are read from one message. */
const MAX_READ_SUSPECTS = 200;

/**
 * How a request is handled: normally, alone on a target without other requests, or refused.
 */
export type SuspectDecision = 'clear' | 'runAlone' | 'refuse';

const DECISIONS: Readonly<Record<SuspectVerdict, SuspectDecision>> = {
  clear: 'clear',
  suspected: 'runAlone',
  trial: 'runAlone',
  refused: 'refuse',
};

function getKey(service: ServiceName, fingerprint: string): string {
  return `${service} ${fingerprint}`;
}

/**
 * Decides how a request is handled, by the crashes at which its fingerprint was outstanding.
 * @param state - The process's state.
 * @param service - The service's name.
 * @param fingerprint - Hash that identifies the request.
 * @param now - Monotonic milliseconds.
 */
export function decideSuspectHandling(
  { protection }: EntryState,
  service: ServiceName,
  fingerprint: string,
  now: number,
): SuspectDecision {
  const { crashes } = protection;
  return crashes.isEmpty
    ? 'clear'
    : DECISIONS[crashes.getVerdict(getKey(service, fingerprint), now)];
}

/**
 * Returns how long a fingerprint remains refused, in milliseconds; 0 if it is not.
 * @param state - The process's state.
 * @param service - The service's name.
 * @param fingerprint - Hash that identifies the request.
 * @param now - Monotonic milliseconds.
 */
export function getRefusalRemainingMs(
  { protection }: EntryState,
  service: ServiceName,
  fingerprint: string,
  now: number,
): number {
  return protection.crashes.getRefusalMs(getKey(service, fingerprint), now);
}

function broadcastSuspects(state: EntryState, suspects: readonly SuspectReport[]): Effect[] {
  if (suspects.length === 0) return [];
  const { self } = state.settings;
  return state.fleet.assignment.members
    .filter((member) => member.id !== self.id)
    .map((member) => ({
      kind: 'sendPeer',
      peer: member.id,
      peerAddress: member.peerAddress,
      message: { kind: 'suspectsTold', suspects },
    }));
}

/**
 * Records a target's crash: every fingerprint that was outstanding there and that no target has
 * answered just before becomes a suspect, and the peers are told.
 * @param state - The process's state.
 * @param service - The service's name.
 * @param target - The target.
 * @param fingerprints - Fingerprints of the requests that were outstanding at the target.
 * @param context - Current time and random source.
 */
export function recordTargetCrash(
  state: EntryState,
  service: ServiceName,
  target: TargetId,
  fingerprints: readonly string[],
  { now }: Context,
): Effect[] {
  const { crashes } = state.protection;
  // Starts of targets are not known here; the time of the crash tells runs of a target apart.
  const run = { target, bornAt: Math.round(now) };
  const changed = [...new Set(fingerprints)]
    .map((fingerprint) => getKey(service, fingerprint))
    .filter((key) => crashes.recordCrash(key, run, now));
  if (changed.length === 0) return [];
  return [
    {
      kind: 'count',
      metric: 'masticlink_crash_suspects_total',
      labels: { service },
      by: changed.length,
    },
    ...broadcastSuspects(
      state,
      changed.map((key) => crashes.getReport(key, now)),
    ),
  ];
}

/**
 * Records that a target answered a request: its fingerprint is no longer suspected.
 * @param state - The process's state.
 * @param service - The service's name.
 * @param fingerprint - Hash that identifies the request.
 * @param context - Current time and random source.
 */
export function recordAnsweredRequest(
  state: EntryState,
  service: ServiceName,
  fingerprint: string,
  { now }: Context,
): Effect[] {
  const { crashes } = state.protection;
  const key = getKey(service, fingerprint);
  return crashes.recordAnswer(key, now)
    ? broadcastSuspects(state, [crashes.getReport(key, now)])
    : [];
}

/**
 * Merges the suspects that a peer reports.
 * @param state - The process's state.
 * @param reported - The suspects that the peer reports.
 * @param now - Monotonic milliseconds.
 */
export function mergeSuspects(
  { protection }: EntryState,
  reported: readonly SuspectReport[],
  now: number,
): void {
  protection.crashes.merge({ suspects: reported.slice(0, MAX_READ_SUSPECTS), alive: [] }, now);
}

/**
 * Removes expired suspects, and periodically broadcasts some of the others for processes that have
 * started since.
 * @param state - The process's state.
 * @param now - Monotonic milliseconds.
 */
export function maintainSuspects(state: EntryState, now: number): Effect[] {
  const { protection } = state;
  if (now < protection.nextBroadcastAt || protection.crashes.isEmpty) return [];
  protection.nextBroadcastAt = now + BROADCAST_INTERVAL_MS;
  return broadcastSuspects(
    state,
    protection.crashes.getNewsToRepeat(MAX_BROADCAST_SUSPECTS, now).suspects,
  );
}
