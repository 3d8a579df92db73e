import type { EntryState } from '../EntryState.js';
import type { EntryVmId, ServiceName, ServiceSpare } from '../model/index.js';
import { getMeanLatency } from '../targets/index.js';
import type { ServiceHolder } from './holders.js';
import { getServiceHolders } from './holders.js';
import type { PeerEstimate, ServiceTraffic } from './ServiceTraffic.js';
import { getTraffic } from './ServiceTraffic.js';

/** How long a peer is not tried after a failed connection, in milliseconds. */
const UNREACHABLE_BACKOFF_MS = 200;
/** Longest time for which a peer's report of free slots is trusted, in milliseconds. */
const MAX_ESTIMATE_AGE_MS = 100;
/** Score of a reported free slot, far above the score of a possible one. */
const FREE_SLOT_SCORE = 1_000;
/** Score factor of peers in this process's own zone, where the network delay is shorter. */
const OWN_ZONE_FACTOR = 4;
/** A peer with open forwards counts as silent after this many times the service's mean latency. */
const SILENCE_FACTOR = 4;
/** Shortest time after which a peer may count as silent, in milliseconds. */
const MIN_SILENCE_MS = 50;
/** Most doublings of the time for which a peer that keeps refusing is assumed to be full. */
const MAX_BACKOFF_DOUBLINGS = 4;

function createEstimate(): PeerEstimate {
  return {
    slots: 0,
    queued: 0,
    updatedAt: Number.NEGATIVE_INFINITY,
    refusals: 0,
    inFlight: 0,
    silentSince: 0,
    unreachableUntil: 0,
  };
}

function getEstimate(traffic: ServiceTraffic, peer: EntryVmId): PeerEstimate {
  let estimate = traffic.peerEstimates.get(peer);
  if (estimate === undefined) {
    estimate = createEstimate();
    traffic.peerEstimates.set(peer, estimate);
  }
  return estimate;
}

/**
 * Updates the estimate of a peer by its own report on a service.
 * @param state - The process's state.
 * @param peer - The peer.
 * @param spare - Free slots, queue length and limit that it reported.
 * @param now - Monotonic milliseconds.
 */
export function recordPeerSpare(
  state: EntryState,
  peer: EntryVmId,
  spare: ServiceSpare,
  now: number,
): void {
  const estimate = getEstimate(getTraffic(state, spare.service), peer);
  estimate.slots = spare.slots;
  estimate.queued = spare.queued;
  estimate.limit = spare.limit ?? estimate.limit;
  estimate.updatedAt = now;
  estimate.silentSince = now;
  if (spare.slots > 0) estimate.refusals = 0;
}

/**
 * Records that a request is forwarded to a peer: one free slot fewer until its next report.
 * @param state - The process's state.
 * @param service - The service's name.
 * @param peer - The peer.
 * @param now - Monotonic milliseconds.
 */
export function recordForwardStarted(
  state: EntryState,
  service: ServiceName,
  peer: EntryVmId,
  now: number,
): void {
  const estimate = getEstimate(getTraffic(state, service), peer);
  estimate.slots = Math.max(0, estimate.slots - 1);
  if (estimate.inFlight === 0) estimate.silentSince = now;
  estimate.inFlight += 1;
}

/**
 * Records that a forward to a peer ended.
 * @param state - The process's state.
 * @param service - The service's name.
 * @param peer - The peer.
 */
export function recordForwardEnded(state: EntryState, service: ServiceName, peer: EntryVmId): void {
  const estimate = getEstimate(getTraffic(state, service), peer);
  estimate.inFlight = Math.max(0, estimate.inFlight - 1);
}

/**
 * Whether a peer has open forwards and has not reported for longer than requests usually take.
 *
 * A machine that went down doesn't refuse connections: forwards to it end only when they time out.
 * Until then it would look like any peer that may have a free slot, and the requests forwarded to
 * it would take a whole second longer.
 */
function isSilent(estimate: PeerEstimate, meanMs: number, now: number): boolean {
  if (estimate.inFlight === 0) return false;
  return now - estimate.silentSince > Math.max(MIN_SILENCE_MS, SILENCE_FACTOR * meanMs);
}

/**
 * Records that a peer refused a forwarded request.
 * @param state - The process's state.
 * @param service - The service's name.
 * @param peer - The peer.
 * @param now - Monotonic milliseconds.
 */
export function recordForwardRefused(
  state: EntryState,
  service: ServiceName,
  peer: EntryVmId,
  now: number,
): void {
  const estimate = getEstimate(getTraffic(state, service), peer);
  estimate.slots = 0;
  estimate.updatedAt = now;
  estimate.refusals += 1;
}

/**
 * Records that no connection to a peer could be made, or that one was reset.
 * @param state - The process's state.
 * @param service - The service's name.
 * @param peer - The peer.
 * @param now - Monotonic milliseconds.
 */
export function recordPeerUnreachable(
  state: EntryState,
  service: ServiceName,
  peer: EntryVmId,
  now: number,
): void {
  const estimate = getEstimate(getTraffic(state, service), peer);
  estimate.slots = 0;
  estimate.updatedAt = now;
  estimate.unreachableUntil = now + UNREACHABLE_BACKOFF_MS;
}

/** Whether a peer has a free slot: reported as free, possibly free, or assumed to be full. */
type SlotAvailability = 'free' | 'unknown' | 'full';

function getSlotAvailability(
  state: EntryState,
  service: ServiceName,
  holder: ServiceHolder,
  estimate: PeerEstimate | undefined,
  now: number,
): SlotAvailability {
  if (estimate === undefined) return 'unknown';
  const meanMs = getMeanLatency(state, service);
  const ageMs = now - estimate.updatedAt;
  if (estimate.slots > 0 && ageMs <= Math.min(meanMs, MAX_ESTIMATE_AGE_MS)) return 'free';
  // After this time a slot has probably become free; it doubles with each consecutive refusal.
  const doublings = Math.min(estimate.refusals, MAX_BACKOFF_DOUBLINGS);
  const assumedFullMs = (meanMs / Math.max(1, estimate.limit ?? holder.slots)) * 2 ** doublings;
  return ageMs > assumedFullMs ? 'unknown' : 'full';
}

/** Which peers a request may be forwarded to, by how likely they have a free slot. */
export type ForwardRequirement = 'surelyFree' | 'maybeFree' | 'anyHolder';

/** Scores a peer for a forward; 0 if it doesn't meet the requirement. */
function getPeerScore(
  availability: SlotAvailability,
  requirement: ForwardRequirement,
  holder: ServiceHolder,
  estimate: PeerEstimate | undefined,
): number {
  const limit = estimate?.limit ?? holder.slots;
  if (availability === 'free') return FREE_SLOT_SCORE * (1 + (estimate?.slots ?? 0));
  if (requirement === 'surelyFree') return 0;
  if (availability === 'unknown') return 1 + limit;
  return requirement === 'anyHolder' ? 1 / (1 + (estimate?.queued ?? 0) / Math.max(1, limit)) : 0;
}

/**
 * Chooses the peer with the highest score for a forward; undefined if none meets the requirement.
 * Leaving, unreachable and silent peers are skipped.
 * @param state - The process's state.
 * @param service - The service's name.
 * @param tried - Peers that the request was forwarded to before; skipped.
 * @param requirement - How likely a free slot has to be.
 * @param now - Monotonic milliseconds.
 * @param random - Uniform in [0, 1); varies the scores so that processes choose different peers.
 */
export function choosePeer(
  state: EntryState,
  service: ServiceName,
  tried: readonly EntryVmId[],
  requirement: ForwardRequirement,
  now: number,
  random: () => number,
): ServiceHolder | undefined {
  const { peerEstimates } = getTraffic(state, service);
  const meanMs = getMeanLatency(state, service);
  let best: ServiceHolder | undefined;
  let bestScore = 0;
  for (const holder of getServiceHolders(state, service)) {
    const { id } = holder.member;
    if (id === state.settings.self.id || tried.includes(id)) continue;
    if (state.fleet.peers.get(id)?.leaving === true) continue;
    const estimate = peerEstimates.get(id);
    if (estimate !== undefined && now < estimate.unreachableUntil) continue;
    if (estimate !== undefined && isSilent(estimate, meanMs, now)) continue;
    const availability = getSlotAvailability(state, service, holder, estimate, now);
    const zoneFactor = holder.member.zone === state.settings.self.zone ? OWN_ZONE_FACTOR : 1;
    const score =
      getPeerScore(availability, requirement, holder, estimate) * zoneFactor * (1 + random() / 2);
    if (score > bestScore) {
      best = holder;
      bestScore = score;
    }
  }
  return best;
}
