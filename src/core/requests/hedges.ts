import type { Context } from '../Context.js';
import type { Effect } from '../effects.js';
import type { EntryState } from '../EntryState.js';
import type { ServiceName } from '../model/index.js';
import { canHedge, takeHedge } from '../protection/index.js';
import { chooseTarget, getLatencies, isSlowTarget } from '../targets/index.js';
import { choosePeer } from './peerEstimates.js';
import type { RequestRecord } from './RequestsState.js';
import { sendToPeer, sendToTarget } from './sendRequest.js';
import type { ServiceTraffic } from './ServiceTraffic.js';

/** A forwarded request is delayed once it takes longer than this share of the service's answers. */
const HEDGE_QUANTILE = 0.99;

function sendHedge(state: EntryState, record: RequestRecord, context: Context): Effect[] {
  const { name } = record.service;
  const { now } = context;
  const target = chooseTarget(state, name, now, record.triedTargets);
  const isUntried = target !== undefined && !record.triedTargets.includes(target.config.id);
  if (isUntried && target.phase === 'warm') return sendToTarget(state, record, target, context);
  const random = (): number => context.random();
  const peer = choosePeer(state, name, record.triedPeers, 'surelyFree', now, random);
  return peer === undefined ? [] : sendToPeer(state, record, peer, context);
}

/**
 * Whether a request's only attempt is delayed: at a target of this process that counts as slow, or
 * at a peer, whose targets can't be observed from here, for longer than nearly all answers take.
 */
function isDelayed(
  state: EntryState,
  record: RequestRecord,
  hedgeAfterMs: number,
  now: number,
): boolean {
  const [id] = record.attempts;
  if (id === undefined || record.attempts.size !== 1) return false;
  const attempt = state.requests.attempts.get(id);
  if (attempt === undefined) return false;
  if (attempt.to.kind === 'target') return isSlowTarget(state, attempt.to.target);
  return now - attempt.startedAt > hedgeAfterMs;
}

/**
 * Sends a second attempt for delayed requests if a slot is free and no request waits; the first
 * answer is relayed. Only repeatable requests are hedged, within the hedge budget.
 *
 * A target that becomes slow takes several times the usual time for the requests that it already
 * has, which puts a few requests far into the tail of the latencies. A request that simply takes
 * long would take as long on another target, so its age alone is no reason to hedge it.
 * @param state - The process's state.
 * @param traffic - The service's requests.
 * @param service - The service's name.
 * @param context - Current time and random source.
 */
export function hedgeDelayed(
  state: EntryState,
  traffic: ServiceTraffic,
  service: ServiceName,
  context: Context,
): Effect[] {
  if (traffic.queue.length > 0) return [];
  const latencies = getLatencies(state, service);
  const hedgeAfterMs = latencies.isReliable ? latencies.getQuantile(HEDGE_QUANTILE) : undefined;
  const effects: Effect[] = [];
  for (const record of traffic.hedgeable.values()) {
    if (!canHedge(state, record.service)) break;
    if (
      record.isHedged ||
      !isDelayed(state, record, hedgeAfterMs ?? Number.POSITIVE_INFINITY, context.now)
    ) {
      continue;
    }
    const hedgeEffects = sendHedge(state, record, context);
    if (hedgeEffects.length === 0) break;
    record.isHedged = true;
    takeHedge(state, record.service);
    traffic.hedgeable.delete(record.id);
    effects.push(...hedgeEffects);
  }
  return effects;
}
