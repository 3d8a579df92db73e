import type { Context } from '../Context.js';
import type { Effect } from '../effects.js';
import type { EntryState } from '../EntryState.js';
import { sendTo } from '../fleet/index.js';
import { getRendezvousWinner, hashText } from '../hash.js';
import type { Member, PeerMessage, ServiceName } from '../model/index.js';

/** Messages that are sent to a key's home. */
export type HomeMessage = Extract<PeerMessage, { kind: 'keyClaimAsked' | 'keyEnded' }>;

/**
 * Returns the number of the partition that a key belongs to.
 * @param state - The process's state.
 * @param service - The service.
 * @param key - The request's key.
 */
export function getKeyPartition(state: EntryState, service: ServiceName, key: string): number {
  return hashText(`${service}|${key}`) % state.settings.keyPartitions;
}

/**
 * Returns the home of a partition: the member that records its keys. Membership views may differ,
 * so two members may both act as home; the conditional write of the head lets only one of them
 * record a key.
 */
function getHome(state: EntryState, partition: number): Member {
  const { assignment, departed, peers, stopping } = state.fleet;
  const { self } = state.settings;
  const available = assignment.members.filter(({ id }) => {
    if (id === self.id) return !stopping;
    return !departed.has(id) && peers.get(id)?.leaving !== true;
  });
  const winner = getRendezvousWinner(
    `keys/${partition}`,
    available.map(({ id }) => id),
  );
  return available.find(({ id }) => id === winner) ?? self;
}

/**
 * Sends a message to the home of its key, which may be this process.
 * @param state - The process's state.
 * @param message - The message.
 * @param _context - Current time and random source.
 */
export function sendToHome(state: EntryState, message: HomeMessage, _context: Context): Effect[] {
  const home = getHome(state, getKeyPartition(state, message.service, message.key));
  if (home.id !== state.settings.self.id) return [sendTo(home, message)];
  const event = { kind: 'peerMessageArrived', from: home.id, message } as const;
  return [{ kind: 'raise', event }];
}

/** Sends an answer to the process that a claim or end came from, which may be this one. */
export function sendToOrigin(state: EntryState, from: string, message: PeerMessage): Effect[] {
  if (from === state.settings.self.id) {
    return [{ kind: 'raise', event: { kind: 'peerMessageArrived', from, message } }];
  }
  const peer = state.fleet.peers.get(from);
  return peer === undefined ? [] : [sendTo(peer.member, message)];
}
