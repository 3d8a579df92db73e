import type { Context } from '../Context.js';
import type { Effect } from '../effects.js';
import type { EntryState } from '../EntryState.js';
import type { CrashSuspect, ServiceName } from '../model/index.js';
import type { SuspectRecord } from './ProtectionState.js';

/** How long a fingerprint that was outstanding at one crash is suspected, in milliseconds. */
const SUSPECT_TTL_MS = 60_000;
/** How long a fingerprint that was outstanding at two crashes is refused, in milliseconds. */
const REFUSAL_TTL_MS = 300_000;
/** Crashes from which a fingerprint is refused. */
const MIN_CRASHES_TO_REFUSE = 2;
/** Most suspects that are kept; beyond that the one with the least evidence is evicted. */
const MAX_SUSPECTS = 200;
/** Answered fingerprints remembered per service; enough for its frequently repeated requests. */
const MAX_ANSWERED_PER_SERVICE = 256;
/** Time between two broadcasts of the refused fingerprints, in milliseconds. */
const BROADCAST_INTERVAL_MS = 10_000;
/** Most fingerprints in such a broadcast. */
const MAX_BROADCAST_SUSPECTS = 20;

/**
 * How a request is handled: normally, alone on a target without other requests, or refused.
 */
export type SuspectDecision = 'clear' | 'runAlone' | 'refuse';

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
  state: EntryState,
  service: ServiceName,
  fingerprint: string,
  now: number,
): SuspectDecision {
  const { suspects } = state.protection;
  if (suspects.size === 0) return 'clear';
  const suspect = suspects.get(getKey(service, fingerprint));
  if (suspect === undefined || suspect.expiresAt <= now || suspect.crashes === 0) return 'clear';
  return suspect.crashes >= MIN_CRASHES_TO_REFUSE ? 'refuse' : 'runAlone';
}

/**
 * Returns how long a fingerprint remains suspected or refused, in milliseconds; 0 if it is neither.
 * @param state - The process's state.
 * @param service - The service's name.
 * @param fingerprint - Hash that identifies the request.
 * @param now - Monotonic milliseconds.
 */
export function getRefusalRemainingMs(
  state: EntryState,
  service: ServiceName,
  fingerprint: string,
  now: number,
): number {
  const suspect = state.protection.suspects.get(getKey(service, fingerprint));
  return suspect === undefined ? 0 : Math.max(0, suspect.expiresAt - now);
}

function evictWeakestSuspect(state: EntryState): void {
  const { suspects } = state.protection;
  if (suspects.size < MAX_SUSPECTS) return;
  let weakestKey: string | undefined;
  let weakestRecord: SuspectRecord | undefined;
  for (const [key, record] of suspects) {
    const isWeaker =
      weakestRecord === undefined ||
      record.crashes < weakestRecord.crashes ||
      (record.crashes === weakestRecord.crashes && record.expiresAt < weakestRecord.expiresAt);
    if (isWeaker) [weakestKey, weakestRecord] = [key, record];
  }
  if (weakestKey !== undefined) suspects.delete(weakestKey);
}

function getSuspectTtlMs(crashes: number): number {
  return crashes >= MIN_CRASHES_TO_REFUSE ? REFUSAL_TTL_MS : SUSPECT_TTL_MS;
}

function broadcastSuspects(
  state: EntryState,
  records: readonly SuspectRecord[],
  now: number,
): Effect[] {
  const { self } = state.settings;
  const suspects = records.map((record): CrashSuspect => ({
    service: record.service,
    fingerprint: record.fingerprint,
    crashes: record.crashes,
    remainingMs: Math.max(0, record.expiresAt - now),
    reporter: self.id,
  }));
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
 * answered recently becomes a suspect, and the peers are told.
 *
 * A caller repeats a request that crashes its target, and the request would crash one target after
 * another until the whole service is down. It shows as resets that move from target to target.
 * @param state - The process's state.
 * @param service - The service's name.
 * @param fingerprints - Fingerprints of the requests that were outstanding at the target.
 * @param context - Current time and random source.
 */
export function recordTargetCrash(
  state: EntryState,
  service: ServiceName,
  fingerprints: readonly string[],
  context: Context,
): Effect[] {
  const { protection } = state;
  const answered = protection.answered.get(service);
  const changed: SuspectRecord[] = [];
  for (const fingerprint of new Set(fingerprints)) {
    if (answered?.has(fingerprint)) continue;
    const key = getKey(service, fingerprint);
    let record = protection.suspects.get(key);
    if (record === undefined) {
      evictWeakestSuspect(state);
      record = { service, fingerprint, localCrashes: 0, crashes: 0, expiresAt: 0 };
      protection.suspects.set(key, record);
    }
    record.localCrashes += 1;
    record.crashes += 1;
    record.expiresAt = context.now + getSuspectTtlMs(record.crashes);
    changed.push(record);
  }
  if (changed.length === 0) return [];
  return [
    {
      kind: 'count',
      metric: 'masticlink_crash_suspects_total',
      labels: { service },
      by: changed.length,
    },
    ...broadcastSuspects(state, changed, context.now),
  ];
}

/**
 * Records that a target answered a request: its fingerprint is no longer suspected.
 *
 * A frequent request is by chance outstanding at most crashes; without this rule it would be
 * refused because of another request.
 * @param state - The process's state.
 * @param service - The service's name.
 * @param fingerprint - Hash that identifies the request.
 * @param context - Current time and random source.
 */
export function recordAnsweredRequest(
  state: EntryState,
  service: ServiceName,
  fingerprint: string,
  context: Context,
): Effect[] {
  const { protection } = state;
  let answered = protection.answered.get(service);
  if (answered === undefined) {
    answered = new Map();
    protection.answered.set(service, answered);
  }
  // Deleting first moves the entry to the end: the map is in order of last use.
  answered.delete(fingerprint);
  answered.set(fingerprint, context.now);
  if (answered.size > MAX_ANSWERED_PER_SERVICE) {
    const [oldest] = answered.keys();
    if (oldest !== undefined) answered.delete(oldest);
  }
  if (protection.suspects.size === 0) return [];
  const record = protection.suspects.get(getKey(service, fingerprint));
  if (record === undefined || record.crashes === 0) return [];
  record.localCrashes = 0;
  record.crashes = 0;
  return broadcastSuspects(state, [record], context.now);
}

/**
 * Merges the suspects that a peer reports. Crashes observed here and by the peer add up; a
 * fingerprint that has been answered is reported with 0 crashes.
 * @param state - The process's state.
 * @param reported - The suspects that the peer reports.
 * @param now - Monotonic milliseconds.
 */
export function mergeSuspects(
  state: EntryState,
  reported: readonly CrashSuspect[],
  now: number,
): void {
  const { suspects } = state.protection;
  for (const suspect of reported.slice(0, MAX_SUSPECTS)) {
    const key = getKey(suspect.service, suspect.fingerprint);
    const expiresAt = now + Math.min(suspect.remainingMs, REFUSAL_TTL_MS);
    const record = suspects.get(key);
    if (suspect.crashes === 0) {
      if (record !== undefined) [record.localCrashes, record.crashes] = [0, 0];
    } else if (record === undefined) {
      evictWeakestSuspect(state);
      const { service, fingerprint, crashes } = suspect;
      suspects.set(key, { service, fingerprint, localCrashes: 0, crashes, expiresAt });
    } else if (record.localCrashes + suspect.crashes > record.crashes) {
      // The peer reports crashes other than those observed here.
      record.crashes = record.localCrashes + suspect.crashes;
      record.expiresAt = Math.max(record.expiresAt, expiresAt);
    }
  }
}

/**
 * Removes expired suspects, and periodically broadcasts the refused fingerprints for processes that
 * have started since.
 * @param state - The process's state.
 * @param now - Monotonic milliseconds.
 */
export function maintainSuspects(state: EntryState, now: number): Effect[] {
  const { protection } = state;
  for (const [key, record] of protection.suspects) {
    if (record.expiresAt <= now || record.crashes === 0) protection.suspects.delete(key);
  }
  if (now < protection.nextBroadcastAt || protection.suspects.size === 0) return [];
  protection.nextBroadcastAt = now + BROADCAST_INTERVAL_MS;
  const refused = [...protection.suspects.values()].filter(
    (record) => record.crashes >= MIN_CRASHES_TO_REFUSE,
  );
  return refused.length === 0
    ? []
    : broadcastSuspects(state, refused.slice(0, MAX_BROADCAST_SUSPECTS), now);
}
