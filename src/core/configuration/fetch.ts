import type { Context } from '../Context.js';
import type { Effect } from '../effects.js';
import type { EntryState } from '../EntryState.js';
import { sendTo } from '../fleet/index.js';
import type { EntryVmId, Member, ServiceName, ServiceObject } from '../model/index.js';
import { enqueueStoreCall } from '../storeCalls/index.js';
import { getMissingServices } from './adopt.js';
import type { ServiceFetch } from './ConfigurationState.js';

/** Requests to peers for a service object before it is read from the store. */
const MAX_PEER_REQUESTS = 2;

/** Time after which a service object that has not arrived is requested again. */
const FETCH_RETRY_MS = 250;

/** Most service objects requested from a peer in one message. */
const MAX_REQUESTS_PER_MESSAGE = 64;

interface MissingService {
  readonly name: ServiceName;
  readonly hash: string;
}

/** Returns the store key of a service object. */
export function getServiceKey({ name, hash }: MissingService): string {
  return `config/services/${name}/${hash}`;
}

/** Chooses a peer that should have the next root: its sender, or any with that generation. */
function chooseFetchPeer(
  state: EntryState,
  source: EntryVmId | undefined,
  context: Context,
): Member | undefined {
  const { peers } = state.fleet;
  const sourcePeer = source === undefined ? undefined : peers.get(source);
  if (sourcePeer !== undefined) return sourcePeer.member;
  const generation = state.configuration.next?.generation ?? 0;
  const candidates = [...peers.values()].filter((peer) => peer.generation >= generation);
  return candidates[Math.floor(context.random() * candidates.length)]?.member;
}

function getFetch(state: EntryState, hash: string): ServiceFetch {
  const { fetches } = state.configuration;
  const existing = fetches.get(hash);
  if (existing !== undefined) return existing;
  const fetch = {
    peerRequests: 0,
    lastTriedAt: Number.NEGATIVE_INFINITY,
    isStoreReadPending: false,
  };
  fetches.set(hash, fetch);
  return fetch;
}

function readFromStore(state: EntryState, missing: MissingService, context: Context): Effect[] {
  const fetch = getFetch(state, missing.hash);
  fetch.isStoreReadPending = true;
  const op = { op: 'get', key: getServiceKey(missing) } as const;
  const tag = missing.hash;
  const call = { storeClass: 'configuration', purpose: 'serviceRead', tag, op } as const;
  return enqueueStoreCall(state, call, context);
}

/**
 * Fetches the service objects of the next root that this process lacks. Peers are asked first: a
 * whole fleet that reads the same objects at once would exhaust the store's read budget.
 * @param state - The process's state.
 * @param source - Peer that sent the root, if one did.
 * @param context - Current time and random source.
 */
export function fetchServices(
  state: EntryState,
  source: EntryVmId | undefined,
  context: Context,
): Effect[] {
  const { next, current } = state.configuration;
  if (next === undefined) return [];
  const due = getMissingServices(state, next).filter(({ hash }) => {
    const fetch = getFetch(state, hash);
    return !fetch.isStoreReadPending && context.now - fetch.lastTriedAt >= FETCH_RETRY_MS;
  });
  const from = chooseFetchPeer(state, source, context);
  const forPeers = due
    .filter(
      ({ hash }) => from !== undefined && getFetch(state, hash).peerRequests < MAX_PEER_REQUESTS,
    )
    .slice(0, MAX_REQUESTS_PER_MESSAGE);
  const requested = new Set(forPeers.map(({ hash }) => hash));
  const effects: Effect[] = [];
  for (const { hash } of forPeers) {
    const fetch = getFetch(state, hash);
    fetch.peerRequests += 1;
    fetch.lastTriedAt = context.now;
  }
  if (from !== undefined && forPeers.length > 0) {
    const have = current.generation;
    effects.push(sendTo(from, { kind: 'configurationAsked', have, services: forPeers }));
  }
  for (const missing of due) {
    const shouldUseStore =
      from === undefined || getFetch(state, missing.hash).peerRequests >= MAX_PEER_REQUESTS;
    if (shouldUseStore && !requested.has(missing.hash)) {
      effects.push(...readFromStore(state, missing, context));
    }
  }
  return effects;
}

/**
 * Records the end of a store read of a service object. After a failure, peers are asked again.
 * @param state - The process's state.
 * @param hash - Hash of the object.
 * @param object - The object; undefined if the read failed.
 * @param now - Monotonic milliseconds.
 */
export function recordStoreRead(
  state: EntryState,
  hash: string,
  object: ServiceObject | undefined,
  now: number,
): void {
  const fetch = state.configuration.fetches.get(hash);
  if (fetch === undefined) return;
  fetch.isStoreReadPending = false;
  fetch.lastTriedAt = now;
  if (object === undefined) fetch.peerRequests = 0;
}
