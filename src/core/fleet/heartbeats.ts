import {
  getConfirmationAgeMs,
  recordConfirmation,
  recordPeerGeneration,
} from '../configuration/index.js';
import type { Context } from '../Context.js';
import type { Effect } from '../effects.js';
import type { EntryState } from '../EntryState.js';
import type { MessageHandler } from '../Handler.js';
import type { EntryVmId, ServiceSpare } from '../model/index.js';
import { getServiceSpare } from '../requests/index.js';
import type { Peer } from './FleetState.js';
import { updateGrants } from './grants.js';
import { isMember, recordHeard, sendTo } from './peers.js';
import { sendHello, sendAssignment } from './assignmentMessages.js';

/**
 * Neighbours on each side of the ring that receive every heartbeat and monitor this process. With
 * one more receiver in rotation, a process sends at most five heartbeats every 200 ms, whatever the
 * size of the fleet; with up to six members that is a full mesh. A heartbeat takes about 200 bytes
 * on the wire, so heartbeats use about 5 KB/s of the 7 KB/s allowed for control traffic.
 */
export const NEIGHBOURS_PER_SIDE = 2;

/** Services whose spare slots are reported in one heartbeat, in rotation. */
const SPARES_PER_HEARTBEAT = 2;

/** A round that is due sooner than this after the previous one is skipped. */
const MIN_ROUND_INTERVAL_MS = 100;

/** Sent heartbeats that are kept per peer. */
const MAX_SENT_HEARTBEATS = 16;

/**
 * Returns the members that this process monitors and that monitor it.
 * @param state - The process's state.
 */
export function getNeighbours(state: EntryState): EntryVmId[] {
  const { ring } = state.fleet;
  if (ring.length <= 2 * NEIGHBOURS_PER_SIDE) return [...ring];
  return [...ring.slice(0, NEIGHBOURS_PER_SIDE), ...ring.slice(-NEIGHBOURS_PER_SIDE)];
}

function getReceivers(state: EntryState): Peer[] {
  const { fleet } = state;
  const ids = new Set(getNeighbours(state));
  const others = [...fleet.peers.keys()].filter((id) => !ids.has(id));
  const next = others[fleet.rotation % Math.max(1, others.length)];
  if (next !== undefined) ids.add(next);
  return [...ids].map((id) => fleet.peers.get(id)).filter((peer) => peer !== undefined);
}

function selectSpares(state: EntryState): ServiceSpare[] {
  const services = [...state.targets.byService.keys()].sort();
  const spares: ServiceSpare[] = [];
  for (let i = 0; i < Math.min(SPARES_PER_HEARTBEAT, services.length); i++) {
    const index = (state.fleet.rotation * SPARES_PER_HEARTBEAT + i) % services.length;
    const service = services[index];
    if (service !== undefined) spares.push(getServiceSpare(state, service));
  }
  return spares;
}

function sendHeartbeat(
  state: EntryState,
  peer: Peer,
  spares: readonly ServiceSpare[],
  now: number,
): Effect {
  const { fleet } = state;
  const sequence = (peer.sentHeartbeats.at(-1)?.sequence ?? 0) + 1;
  peer.sentHeartbeats.push({ sequence, at: now });
  if (peer.sentHeartbeats.length > MAX_SENT_HEARTBEATS) peer.sentHeartbeats.shift();
  return sendTo(peer.member, {
    kind: 'heartbeat',
    appliedEpoch: fleet.assignment.epoch,
    generation: state.configuration.current.generation,
    leaseRemainingMs: Math.max(0, Math.round(fleet.leaseEnd - now)),
    leaseVersion: fleet.lease.version,
    leaving: fleet.stopping,
    spares,
    sequence,
    echo: peer.lastReceivedSequence,
    confirmedAgoMs: getConfirmationAgeMs(state, now),
  });
}

/**
 * Sends a round of heartbeats. A process that is not a member sends a `hello` with each of them.
 * @param state - The process's state.
 * @param context - Current time and random source.
 */
export function sendHeartbeats(state: EntryState, context: Context): Effect[] {
  state.fleet.rotation += 1;
  state.fleet.lastHeartbeatAt = context.now;
  const spares = selectSpares(state);
  const isNotMember = !isMember(state, state.settings.self.id);
  return getReceivers(state).flatMap((peer) => {
    const heartbeat = sendHeartbeat(state, peer, spares, context.now);
    return isNotMember ? [sendHello(state, peer.member, context), heartbeat] : [heartbeat];
  });
}

/**
 * Sends the round that is due, unless one was just sent because the lease was renewed.
 * @param state - The process's state.
 * @param context - Current time and random source.
 */
export function sendDueHeartbeats(state: EntryState, context: Context): Effect[] {
  const hasJustSent = context.now - state.fleet.lastHeartbeatAt < MIN_ROUND_INTERVAL_MS;
  return hasJustSent ? [] : sendHeartbeats(state, context);
}

/** Records a peer's confirmation of the configuration, dated by this process's own clock. */
function recordPeerConfirmation(
  state: EntryState,
  peer: Peer,
  echo: number,
  confirmedAgoMs: number,
): void {
  const sent = peer.sentHeartbeats.find(({ sequence }) => sequence === echo);
  // The peer sent this after the heartbeat that it echoes had arrived, so not before that was sent.
  if (sent !== undefined) recordConfirmation(state, peer.generation, sent.at - confirmedAgoMs);
}

/** Updates the state of a peer and sends it the assignment if it acts under an earlier epoch. */
export const handleHeartbeat: MessageHandler<'heartbeat'> = (state, from, message, context) => {
  const peer = recordHeard(state, from, context.now);
  if (peer === undefined) return [];
  const isLatest = message.sequence > peer.lastReceivedSequence;
  const hasNewEpoch = message.appliedEpoch > peer.appliedEpoch;
  peer.appliedEpoch = Math.max(peer.appliedEpoch, message.appliedEpoch);
  peer.generation = Math.max(peer.generation, message.generation);
  peer.leaving = peer.leaving || message.leaving;
  if (isLatest) {
    peer.lastReceivedSequence = message.sequence;
    peer.leaseVersion = message.leaseVersion;
    peer.leaseEndsBy = context.now + message.leaseRemainingMs;
  }
  recordPeerConfirmation(state, peer, message.echo, message.confirmedAgoMs);
  const effects = message.spares.map((spare): Effect => ({
    kind: 'raise',
    event: { kind: 'spareHeard', peer: from, spare },
  }));
  effects.push(...recordPeerGeneration(state, from, message.generation, context));
  if (message.appliedEpoch < state.fleet.assignment.epoch) {
    effects.push(...sendAssignment(state, peer.member, context.now));
  }
  if (hasNewEpoch) effects.push(...updateGrants(state, context.now));
  return effects;
};
