import type { Context } from '../Context.js';
import type { Effect } from '../effects.js';
import type { EntryState } from '../EntryState.js';
import type { EntryVmId, Member, ServiceName, ServiceSpare } from '../model/index.js';
import { getLocalCapacity } from './capacity.js';
import { getServiceSpare } from './getServiceSpare.js';
import type { ServiceTraffic } from './ServiceTraffic.js';
import { getTraffic } from './ServiceTraffic.js';

/** How long a peer's report of waiting requests is remembered, in milliseconds. */
const QUEUED_PEER_TTL_MS = 200;
/**
 * Messages about spare slots that a process may send per second. At about 60 bytes each they stay
 * below the 7 KB/s that a node may spend on control traffic.
 */
const MESSAGES_PER_SECOND = 100;
/** Messages about spare slots that a process may send at once after a pause. */
const MESSAGE_BURST = 50;
/** An invitation that was not used expires after this many hops. */
const INVITATION_TTL_HOPS = 4;

function takeMessageToken(state: EntryState, now: number): boolean {
  const { requests } = state;
  const newTokens = ((now - requests.spareTokensRefilledAt) / 1_000) * MESSAGES_PER_SECOND;
  requests.spareMessageTokens = Math.min(MESSAGE_BURST, requests.spareMessageTokens + newTokens);
  requests.spareTokensRefilledAt = now;
  if (requests.spareMessageTokens < 1) return false;
  requests.spareMessageTokens -= 1;
  return true;
}

function findMember(state: EntryState, id: EntryVmId): Member | undefined {
  return (
    state.fleet.peers.get(id)?.member ??
    state.fleet.assignment.members.find((member) => member.id === id)
  );
}

function sendSpare(state: EntryState, peer: EntryVmId, spare: ServiceSpare, now: number): Effect[] {
  const member = findMember(state, peer);
  if (member === undefined || !takeMessageToken(state, now)) return [];
  const message = { kind: 'spare', spare } as const;
  return [{ kind: 'sendPeer', peer, peerAddress: member.peerAddress, message }];
}

/**
 * Records that a peer has requests waiting.
 * @param traffic - The service's requests.
 * @param peer - The peer.
 * @param queued - Number of requests that wait there.
 * @param now - Monotonic milliseconds.
 */
export function recordQueuedPeer(
  traffic: ServiceTraffic,
  peer: EntryVmId,
  queued: number,
  now: number,
): void {
  const known = traffic.queuedPeers.get(peer);
  if (known === undefined) traffic.queuedPeers.set(peer, { queued, firstReportedAt: now });
  else known.queued = Math.max(known.queued, queued);
}

/**
 * Records that a peer forwarded a request here, which uses up one invited slot.
 * @param traffic - The service's requests.
 */
export function recordInvitationUsed(traffic: ServiceTraffic): void {
  traffic.invitedSlots = Math.max(0, traffic.invitedSlots - 1);
}

/** The peer with the longest reported queue; forgets reports that are too old. */
function findLongestQueue(traffic: ServiceTraffic, now: number): EntryVmId | undefined {
  let longest: EntryVmId | undefined;
  let maxQueued = 0;
  for (const [peer, queuedPeer] of traffic.queuedPeers) {
    if (now - queuedPeer.firstReportedAt > QUEUED_PEER_TTL_MS) {
      traffic.queuedPeers.delete(peer);
    } else if (queuedPeer.queued > maxQueued) {
      longest = peer;
      maxQueued = queuedPeer.queued;
    }
  }
  return longest;
}

/**
 * Invites the peers with the longest queues to forward requests while slots are free here.
 *
 * A process's knowledge of its peers' slots is older than a request takes, so a request often waits
 * in one process while a slot is free in another, and the tail of the latencies is longer than with
 * one common queue. A peer whose request was refused here is remembered and invited when a slot
 * becomes free.
 * @param state - The process's state.
 * @param service - The service's name.
 * @param context - Current time and random source.
 */
export function inviteQueuedPeers(
  state: EntryState,
  service: ServiceName,
  context: Context,
): Effect[] {
  const traffic = getTraffic(state, service);
  const { now } = context;
  if (traffic.queuedPeers.size === 0 || traffic.queue.length > 0) return [];
  if (now >= traffic.invitationsExpireAt) traffic.invitedSlots = 0;
  const effects: Effect[] = [];
  let free = getLocalCapacity(state, service, now).free - traffic.invitedSlots;
  while (free > 0) {
    const peer = findLongestQueue(traffic, now);
    if (peer === undefined) break;
    const slots = Math.min(free, traffic.queuedPeers.get(peer)!.queued);
    traffic.queuedPeers.delete(peer);
    const spare = { ...getServiceSpare(state, service, now), slots };
    const messages = sendSpare(state, peer, spare, now);
    if (messages.length === 0) break;
    effects.push(...messages);
    free -= slots;
    traffic.invitedSlots += slots;
    traffic.invitationsExpireAt = now + INVITATION_TTL_HOPS * state.settings.peerDelayMs;
  }
  return effects;
}

/**
 * Tells a peer that invited requests how many are still waiting here.
 * @param state - The process's state.
 * @param service - The service's name.
 * @param peer - The peer.
 * @param now - Monotonic milliseconds.
 */
export function sendQueueLength(
  state: EntryState,
  service: ServiceName,
  peer: EntryVmId,
  now: number,
): Effect[] {
  return sendSpare(state, peer, { ...getServiceSpare(state, service, now), slots: 0 }, now);
}
