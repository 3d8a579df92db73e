import type { Context } from '../Context.js';
import type { Effect } from '../effects.js';
import type { EntryState } from '../EntryState.js';
import type { MessageHandler } from '../Handler.js';
import { sendTo } from '../fleet/index.js';
import type { EntryVmId, ServiceObject } from '../model/index.js';

/** Peers that a process sends a new configuration to; each of them sends it on to as many. */
const GOSSIP_FAN_OUT = 3;

/** Most service objects sent in one message. */
const MAX_OBJECTS_PER_MESSAGE = 64;

/** Minimum time between two requests for a later root, in milliseconds. */
const ROOT_RETRY_MS = 300;

/**
 * Sends the configuration that has just come into force to a few peers. They send it on, so that it
 * reaches all processes after a few hops even if the store is down. Heartbeats name the generation,
 * so that processes missed by this find out too.
 * @param state - The process's state.
 * @param source - Peer that sent it to this process, if one did.
 * @param context - Current time and random source.
 */
export function gossipRoot(
  state: EntryState,
  source: EntryVmId | undefined,
  context: Context,
): Effect[] {
  const { root } = state.configuration;
  if (root === undefined) return [];
  const outdatedPeers = [...state.fleet.peers.values()].filter(
    (peer) => peer.member.id !== source && peer.generation < root.generation,
  );
  const effects: Effect[] = [];
  for (let i = 0; i < GOSSIP_FAN_OUT && outdatedPeers.length > 0; i++) {
    const [peer] = outdatedPeers.splice(Math.floor(context.random() * outdatedPeers.length), 1);
    if (peer === undefined) break;
    effects.push(sendTo(peer.member, { kind: 'configurationTold', root, services: [] }));
  }
  return effects;
}

/**
 * Records the generation in force at a peer, and asks for its configuration if it is later.
 * @param state - The process's state.
 * @param from - The peer.
 * @param generation - The generation in force at the peer.
 * @param context - Current time and random source.
 */
export function recordPeerGeneration(
  state: EntryState,
  from: EntryVmId,
  generation: number,
  context: Context,
): Effect[] {
  const { configuration } = state;
  const known = Math.max(configuration.current.generation, configuration.next?.generation ?? 0);
  const peer = state.fleet.peers.get(from);
  if (peer === undefined) return [];
  peer.generation = Math.max(peer.generation, generation);
  if (generation <= known || context.now - configuration.rootRequestedAt < ROOT_RETRY_MS) return [];
  configuration.rootRequestedAt = context.now;
  const have = configuration.current.generation;
  return [sendTo(peer.member, { kind: 'configurationAsked', have, services: [] })];
}

/** Answers with the root, if it is later than the peer's, and the requested service objects. */
export const handleConfigurationAsked: MessageHandler<'configurationAsked'> = (
  state,
  from,
  message,
) => {
  const peer = state.fleet.peers.get(from);
  if (peer === undefined) return [];
  const { objects, root } = state.configuration;
  const services: ServiceObject[] = [];
  for (const { hash } of message.services.slice(0, MAX_OBJECTS_PER_MESSAGE)) {
    const object = objects.get(hash);
    if (object !== undefined) services.push(object);
  }
  const isLater = root !== undefined && root.generation > message.have;
  if (!isLater && services.length === 0) return [];
  const content = isLater ? { root, services } : { services };
  return [sendTo(peer.member, { kind: 'configurationTold', ...content })];
};

/** Sends the configuration in force to a process that introduced itself. */
export const handleHello: MessageHandler<'hello'> = (state, _from, message) => {
  const { root } = state.configuration;
  const known = state.fleet.peers.get(message.member.id);
  if (root === undefined || (known?.generation ?? 0) >= root.generation) return [];
  return [sendTo(message.member, { kind: 'configurationTold', root, services: [] })];
};
