import type { Effect } from '../effects.js';
import type { EntryState } from '../EntryState.js';
import { hashText } from '../hash.js';
import type { EntryVmId, Member, PeerMessage } from '../model/index.js';
import type { Peer } from './FleetState.js';

/** Most processes that are kept as peers without being members. */
const MAX_NON_MEMBER_PEERS = 64;

/** A peer that is not a member is dropped after this time without a message from it. */
const NON_MEMBER_TTL_MS = 10_000;

function createPeer(member: Member, now: number): Peer {
  return {
    member,
    lastHeardAt: now,
    hasBeenHeard: false,
    appliedEpoch: 0,
    generation: 0,
    leaving: false,
    leaseEndsBy: now,
    leaseVersion: 0,
    lastReceivedSequence: 0,
    sentHeartbeats: [],
    ackedEpoch: 0,
    confirmations: new Map(),
    assignmentSentAt: Number.NEGATIVE_INFINITY,
  };
}

/**
 * Whether a process is a member of the current epoch.
 * @param state - The process's state.
 * @param id - The process.
 */
export function isMember(state: EntryState, id: EntryVmId): boolean {
  return state.fleet.assignment.members.some((member) => member.id === id);
}

/** Returns the members of the current and all unsettled epochs, without this process. */
export function getKnownMembers(state: EntryState): Map<EntryVmId, Member> {
  const { assignment } = state.fleet;
  const known = new Map<EntryVmId, Member>();
  for (const epoch of [assignment, ...assignment.earlier]) {
    for (const member of epoch.members) known.set(member.id, member);
  }
  known.delete(state.settings.self.id);
  return known;
}

/**
 * Marks processes as ended whose peer address another process now uses. A listening port belongs
 * to one process at a time, and a paused process would still keep it.
 */
function markPredecessorsEnded(state: EntryState, member: Member): void {
  const { self } = state.settings;
  for (const known of getKnownMembers(state).values()) {
    const isReplaced = known.peerAddress === member.peerAddress && known.id !== member.id;
    if (isReplaced && known.id !== self.id) {
      state.fleet.ended.add(known.id);
      state.fleet.departed.add(known.id);
    }
  }
}

/**
 * Adds a process that sent a `hello` to the peers.
 * @param state - The process's state.
 * @param member - The process.
 * @param now - Monotonic milliseconds.
 */
export function addPeer(state: EntryState, member: Member, now: number): void {
  const { peers, ended } = state.fleet;
  if (member.id === state.settings.self.id || ended.has(member.id)) return;
  if (!peers.has(member.id)) {
    const known = getKnownMembers(state);
    const others = [...peers.keys()].filter((id) => !known.has(id));
    if (others.length >= MAX_NON_MEMBER_PEERS && others[0] !== undefined) peers.delete(others[0]);
    peers.set(member.id, createPeer(member, now));
  }
  markPredecessorsEnded(state, member);
}

/** Updates the peers and the ring from the assignment. */
export function refreshPeers(state: EntryState, now: number): void {
  const { assignment, ended, peers } = state.fleet;
  const { self } = state.settings;
  const known = getKnownMembers(state);
  for (const member of known.values()) {
    if (!peers.has(member.id)) peers.set(member.id, createPeer(member, now));
    if (member.peerAddress === self.peerAddress) {
      ended.add(member.id);
      state.fleet.departed.add(member.id);
    }
  }
  for (const [id, peer] of peers) {
    const isExpired = !known.has(id) && now - peer.lastHeardAt > NON_MEMBER_TTL_MS;
    if (ended.has(id) || isExpired) peers.delete(id);
  }
  const ids = assignment.members.map(({ id }) => id).filter((id) => id !== self.id);
  const getRingPosition = (id: EntryVmId): number => hashText(id);
  const ownPosition = getRingPosition(self.id);
  // The ring starts after this process, so its neighbours are at both ends of the list.
  const ringSize = 2 ** 32;
  state.fleet.ring = ids.sort(
    (a, b) =>
      ((getRingPosition(a) - ownPosition + ringSize) % ringSize) -
      ((getRingPosition(b) - ownPosition + ringSize) % ringSize),
  );
}

/**
 * Creates the effect that sends a message to a process.
 * @param to - The process.
 * @param message - The message.
 */
export function sendTo(to: Member, message: PeerMessage): Effect {
  return { kind: 'sendPeer', peer: to.id, peerAddress: to.peerAddress, message };
}

/** Records that a message arrived from a process; returns undefined if it is not a known peer. */
export function recordHeard(state: EntryState, from: EntryVmId, now: number): Peer | undefined {
  const peer = state.fleet.peers.get(from);
  if (peer === undefined) return undefined;
  peer.lastHeardAt = now;
  peer.hasBeenHeard = true;
  if (!state.fleet.ended.has(from)) state.fleet.departed.delete(from);
  return peer;
}
