import type { Context } from '../Context.js';
import type { Effect } from '../effects.js';
import type { EntryState } from '../EntryState.js';
import { getRendezvousWinner } from '../hash.js';
import type { ServiceName } from '../model/index.js';
import { getRefusalRemainingMs, decideSuspectHandling } from '../protection/index.js';
import { reserveTarget } from '../targets/index.js';
import { reject } from './finish.js';
import type { ServiceHolder } from './holders.js';
import { getServiceHolders } from './holders.js';
import type { RequestRecord } from './RequestsState.js';
import { sendToPeer, sendToTarget } from './sendRequest.js';
import type { ServiceTraffic } from './ServiceTraffic.js';
import { getTraffic } from './ServiceTraffic.js';

/** Crash suspects of one service that may wait or run alone in one process. */
const MAX_WAITING = 8;
/** Retry delay for the caller of a suspect that can't be run now, in milliseconds. */
const RETRY_MS = 1_000;

/**
 * The one holder that may run a suspect with this fingerprint. If each holder ran it, each could
 * lose a target to it.
 */
function findTrialHolder(
  state: EntryState,
  service: ServiceName,
  fingerprint: string,
): ServiceHolder | undefined {
  const holders = getServiceHolders(state, service);
  const winner = getRendezvousWinner(
    fingerprint,
    holders.map((holder) => holder.member.id),
  );
  return holders.find((holder) => holder.member.id === winner);
}

/** Whether a request with this fingerprint runs alone already: its end decides for the others. */
function isTrialInFlight(traffic: ServiceTraffic, record: RequestRecord): boolean {
  const { fingerprint } = record.arrived;
  return traffic.alone.some(
    (each) => each.stage === 'sent' && each.arrived.fingerprint === fingerprint,
  );
}

/**
 * Rejects a request whose fingerprint was outstanding at targets when they died.
 * @param state - The process's state.
 * @param record - The request.
 * @param now - Monotonic milliseconds.
 */
export function rejectSuspect(state: EntryState, record: RequestRecord, now: number): Effect[] {
  const { service, arrived } = record;
  const remainingMs = getRefusalRemainingMs(state, service.name, arrived.fingerprint, now);
  return reject(state, record, 'crash-suspect', Math.max(RETRY_MS, remainingMs));
}

function sendAlone(state: EntryState, record: RequestRecord, context: Context): Effect[] {
  const { name } = record.service;
  const target = reserveTarget(state, name, record.id, context.now);
  if (target === undefined) return [];
  target.alone = state.requests.nextAttempt;
  return sendToTarget(state, record, target, context);
}

/**
 * Forwards a crash suspect to the one holder that may run it. On that holder, puts it into the
 * alone queue, where it waits for an empty target. Rejects it if neither is possible.
 * @param state - The process's state.
 * @param record - The request.
 * @param context - Current time and random source.
 */
export function runAlone(state: EntryState, record: RequestRecord, context: Context): Effect[] {
  const { name } = record.service;
  const traffic = getTraffic(state, name);
  const trialHolder = findTrialHolder(state, name, record.arrived.fingerprint);
  if (trialHolder === undefined) return reject(state, record, 'crash-suspect', RETRY_MS);
  if (trialHolder.member.id !== state.settings.self.id) {
    const canForward =
      record.arrived.forwardedBy === undefined &&
      !record.triedPeers.includes(trialHolder.member.id);
    if (canForward) return sendToPeer(state, record, trialHolder, context);
    return reject(state, record, 'crash-suspect', RETRY_MS);
  }
  if (traffic.alone.length >= MAX_WAITING) return reject(state, record, 'crash-suspect', RETRY_MS);
  record.stage = 'waitingAlone';
  traffic.alone.push(record);
  return isTrialInFlight(traffic, record) ? [] : sendAlone(state, record, context);
}

/** Result of going through the alone queue. */
export interface AloneQueueStep {
  readonly effects: Effect[];
  /** Requests that are no longer suspected and can be dispatched normally. */
  readonly cleared: readonly RequestRecord[];
}

/**
 * Goes through the waiting crash suspects: sends those that can run now and rejects those whose
 * fingerprint is refused by now.
 * @param state - The process's state.
 * @param traffic - The service's requests.
 * @param context - Current time and random source.
 */
export function advanceAloneQueue(
  state: EntryState,
  traffic: ServiceTraffic,
  context: Context,
): AloneQueueStep {
  const effects: Effect[] = [];
  const cleared: RequestRecord[] = [];
  for (const record of [...traffic.alone]) {
    if (record.stage !== 'waitingAlone') continue;
    const { service, arrived } = record;
    const verdict = decideSuspectHandling(state, service.name, arrived.fingerprint, context.now);
    if (verdict === 'refuse') effects.push(...rejectSuspect(state, record, context.now));
    else if (verdict === 'clear') cleared.push(record);
    else if (!isTrialInFlight(traffic, record)) effects.push(...sendAlone(state, record, context));
  }
  return { effects, cleared };
}
