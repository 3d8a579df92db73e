import type { Context } from '../Context.js';
import type { Destination, Effect } from '../effects.js';
import type { EntryState } from '../EntryState.js';
import type { LocalTarget } from '../targets/index.js';
import { recordAttemptStarted } from '../targets/index.js';
import { recordForwardStarted } from './peerEstimates.js';
import type { ServiceHolder } from './holders.js';
import type { RequestRecord } from './RequestsState.js';
import { getTraffic } from './ServiceTraffic.js';

/** Methods whose requests have no body, so that they can be hedged without replaying one. */
const BODYLESS_METHODS = new Set(['GET', 'HEAD']);

function startAttempt(
  state: EntryState,
  record: RequestRecord,
  to: Destination,
  deadlineAt: number,
  now: number,
): Effect[] {
  const { requests } = state;
  const attempt = requests.nextAttempt;
  requests.nextAttempt += 1;
  requests.attempts.set(attempt, { owner: record, to, startedAt: now, isAnswered: false });
  record.attempts.add(attempt);
  record.stage = 'sent';
  const { arrived, service } = record;
  const isHedgeable = record.isRepeatable && arrived.forwardedBy === undefined;
  if (isHedgeable && !record.isHedged && BODYLESS_METHODS.has(arrived.method)) {
    if (service.repeat.hedgeShare > 0) {
      getTraffic(state, service.name).hedgeable.set(record.id, record);
    }
  }
  return [{ kind: 'sendAttempt', attempt, request: record.id, to, deadlineAt }];
}

/**
 * Sends a request to a target that this process holds.
 * @param state - The process's state.
 * @param record - The request.
 * @param target - The target; it must have a free slot.
 * @param context - Current time and random source.
 */
export function sendToTarget(
  state: EntryState,
  record: RequestRecord,
  target: LocalTarget,
  context: Context,
): Effect[] {
  const { id, address } = target.config;
  recordAttemptStarted(target, state.requests.nextAttempt, record.arrived.fingerprint, context.now);
  record.triedTargets.push(id);
  const to = { kind: 'target', target: id, address } as const;
  return startAttempt(state, record, to, record.deadlineAt, context.now);
}

/**
 * Forwards a request to a peer.
 * @param state - The process's state.
 * @param record - The request; it must not have been forwarded here.
 * @param holder - The peer.
 * @param context - Current time and random source.
 */
export function sendToPeer(
  state: EntryState,
  record: RequestRecord,
  holder: ServiceHolder,
  context: Context,
): Effect[] {
  const { id: peer, peerAddress } = holder.member;
  recordForwardStarted(state, record.service.name, peer, context.now);
  record.triedPeers.push(peer);
  const to = { kind: 'peer', peer, peerAddress } as const;
  return startAttempt(state, record, to, record.deadlineAt, context.now);
}
