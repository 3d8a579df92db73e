import type { Context } from '../Context.js';
import type { Effect } from '../effects.js';
import type { EntryState } from '../EntryState.js';
import { decideSuspectHandling } from '../protection/index.js';
import { chooseTarget, releaseReservation } from '../targets/index.js';
import type { ForwardRequirement } from './peerEstimates.js';
import { choosePeer } from './peerEstimates.js';
import { getExpectedWaitMs, getLocalCapacity, getRetryAfterMs } from './capacity.js';
import { enqueue } from './enqueue.js';
import { reject } from './finish.js';
import type { ServiceHolder } from './holders.js';
import { isHolderOf } from './holders.js';
import type { RequestRecord } from './RequestsState.js';
import { rejectSuspect, runAlone } from './runAlone.js';
import { sendToPeer, sendToTarget } from './sendRequest.js';
import { getTraffic } from './ServiceTraffic.js';
import { recordQueuedPeer } from './invitations.js';

/** Peers that one request is forwarded to at most, one after the other. */
const MAX_PEERS = 4;
/** Forwards of one request after which only peers with a reported free slot are tried. */
const MAX_SPECULATIVE_FORWARDS = 2;
/** A forwarded request that waits no longer than this many hops is queued: a retry takes longer. */
const MAX_FORWARDED_WAIT_HOPS = 3;

function findPeer(
  state: EntryState,
  record: RequestRecord,
  requirement: ForwardRequirement,
  context: Context,
): ServiceHolder | undefined {
  const { service, arrived, triedPeers } = record;
  if (arrived.forwardedBy !== undefined || triedPeers.length >= MAX_PEERS) return undefined;
  const random = (): number => context.random();
  return choosePeer(state, service.name, triedPeers, requirement, context.now, random);
}

/**
 * Handles a peer's request for which no slot is free: queues it if the wait is short or the peer
 * holds no targets of the service; otherwise refuses it and records that the peer has a queue.
 */
function enqueueOrRejectForwarded(
  state: EntryState,
  record: RequestRecord,
  origin: string,
  context: Context,
): Effect[] {
  const { name } = record.service;
  const waitMs = getExpectedWaitMs(state, name, context.now);
  const isShortWait = waitMs <= MAX_FORWARDED_WAIT_HOPS * state.settings.peerDelayMs;
  if (isShortWait || (Number.isFinite(waitMs) && !isHolderOf(state, name, origin))) {
    return enqueue(state, record, context);
  }
  recordQueuedPeer(getTraffic(state, name), origin, 1, context.now);
  const retryAfterMs = getRetryAfterMs(state, name, context.now, context.random());
  return reject(state, record, 'no-capacity', retryAfterMs);
}

/** Handles a request for which no slot is free here: forwards, queues or rejects it. */
function forwardOrEnqueue(state: EntryState, record: RequestRecord, context: Context): Effect[] {
  const { service, arrived } = record;
  if (arrived.forwardedBy !== undefined) {
    return enqueueOrRejectForwarded(state, record, arrived.forwardedBy, context);
  }
  const hasLocalCapacity = getLocalCapacity(state, service.name, context.now).limit > 0;
  const requirement =
    record.triedPeers.length < MAX_SPECULATIVE_FORWARDS ? 'maybeFree' : 'surelyFree';
  const peer = findPeer(state, record, hasLocalCapacity ? requirement : 'anyHolder', context);
  if (peer !== undefined) return sendToPeer(state, record, peer, context);
  const isHolder = isHolderOf(state, service.name, state.settings.self.id);
  if (hasLocalCapacity || isHolder) return enqueue(state, record, context);
  const retryAfterMs =
    record.peerRetryAfterMs ?? getRetryAfterMs(state, service.name, context.now, context.random());
  return reject(state, record, 'no-capacity', retryAfterMs);
}

/**
 * Dispatches a request that is new or is to be resent: to a free slot of a target that this process
 * holds, to a peer that may have one, or into the queue.
 * @param state - The process's state.
 * @param record - The request.
 * @param context - Current time and random source.
 */
export function dispatch(state: EntryState, record: RequestRecord, context: Context): Effect[] {
  const { service, arrived, deadlineAt } = record;
  const { now } = context;
  if (now >= deadlineAt) return reject(state, record, 'deadline-passed');
  const verdict = decideSuspectHandling(state, service.name, arrived.fingerprint, now);
  if (verdict === 'refuse') return rejectSuspect(state, record, now);
  if (verdict === 'runAlone') return runAlone(state, record, context);
  if (getTraffic(state, service.name).queue.length === 0) {
    const target = chooseTarget(state, service.name, now, record.triedTargets);
    if (target !== undefined) return sendToTarget(state, record, target, context);
  }
  return forwardOrEnqueue(state, record, context);
}

/**
 * Removes a request from the crash suspects that run alone and releases its reserved target.
 * @param state - The process's state.
 * @param record - The request.
 */
export function removeFromAloneQueue(state: EntryState, record: RequestRecord): void {
  const { alone } = getTraffic(state, record.service.name);
  const at = alone.indexOf(record);
  if (at < 0) return;
  alone.splice(at, 1);
  releaseReservation(state, record.service.name, record.id);
}
