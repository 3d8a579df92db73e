import type { Context } from '../Context.js';
import type { Effect } from '../effects.js';
import type { EntryState } from '../EntryState.js';
import type { ServiceName } from '../model/index.js';
import { chooseTarget } from '../targets/index.js';
import { choosePeer } from './peerEstimates.js';
import { dispatch, removeFromAloneQueue } from './dispatch.js';
import { advanceAloneQueue } from './runAlone.js';
import { sendToPeer, sendToTarget } from './sendRequest.js';
import type { QueueEntry } from './ServiceQueue.js';
import { getTraffic } from './ServiceTraffic.js';
import { inviteQueuedPeers } from './invitations.js';

/** Sends queued requests to free slots of the targets that this process holds. */
function sendQueued(state: EntryState, service: ServiceName, context: Context): Effect[] {
  const { queue } = getTraffic(state, service);
  const effects: Effect[] = [];
  while (queue.length > 0) {
    const target = chooseTarget(state, service, context.now);
    if (target === undefined) break;
    const record = state.requests.requests.get(queue.shift()!.request);
    if (record !== undefined) effects.push(...sendToTarget(state, record, target, context));
  }
  return effects;
}

function isForwardable(entry: QueueEntry): boolean {
  return entry.isForwardable;
}

/** Forwards queued requests to peers that recently reported free slots. */
function forwardQueued(state: EntryState, service: ServiceName, context: Context): Effect[] {
  const { queue } = getTraffic(state, service);
  const effects: Effect[] = [];
  const random = (): number => context.random();
  while (queue.length > 0) {
    const peer = choosePeer(state, service, [], 'surelyFree', context.now, random);
    if (peer === undefined) break;
    const entry = queue.shift(isForwardable);
    if (entry === undefined) break;
    const record = state.requests.requests.get(entry.request);
    if (record !== undefined) effects.push(...sendToPeer(state, record, peer, context));
  }
  return effects;
}

/**
 * Dispatches the waiting requests of a service: crash suspects first, then the queue, to free slots
 * here before those of peers. Peers with queues are invited to use the slots that are left.
 * @param state - The process's state.
 * @param service - The service's name.
 * @param context - Current time and random source.
 */
export function drainQueue(state: EntryState, service: ServiceName, context: Context): Effect[] {
  const traffic = getTraffic(state, service);
  const effects: Effect[] = [];
  if (traffic.alone.length > 0) {
    const step = advanceAloneQueue(state, traffic, context);
    effects.push(...step.effects);
    for (const record of step.cleared) {
      removeFromAloneQueue(state, record);
      effects.push(...dispatch(state, record, context));
    }
  }
  if (traffic.queue.length > 0) {
    effects.push(...sendQueued(state, service, context));
    effects.push(...forwardQueued(state, service, context));
  }
  if (traffic.queuedPeers.size > 0) effects.push(...inviteQueuedPeers(state, service, context));
  return effects;
}
