import { getService } from '../configuration/index.js';
import type { EntryState } from '../EntryState.js';
import type { Member, ServiceName, ZoneName } from '../model/index.js';
import { getServiceHolders } from '../requests/index.js';

/** A caller's query for entry VM addresses. */
export interface AddressQuery {
  readonly service: ServiceName;
  /** The caller's own zone, if it has one. */
  readonly zone?: ZoneName;
}

/** Entry VMs that a caller may connect to, the best first. */
export interface AddressAnswer {
  readonly service: ServiceName;
  readonly addresses: readonly string[];
  /** How long the caller may keep the answer, in milliseconds. */
  readonly ttlMs: number;
  /** Generation of the configuration in force at the answering entry VM. */
  readonly generation: number;
}

/** Most addresses in an answer. Callers use the first and fall back to the others if it fails. */
const MAX_ADDRESSES = 6;
/** Lowest weight of a holder, as a share of its declared slots, even while all targets are cold. */
const MIN_WEIGHT_SHARE = 0.1;

interface Candidate {
  readonly member: Member;
  /** Slots of the service's targets that the member drives; 0 if it drives none. */
  readonly weight: number;
}

function isLeaving(state: EntryState, member: Member): boolean {
  if (member.id === state.settings.self.id) return state.fleet.stopping;
  return state.fleet.peers.get(member.id)?.leaving === true;
}

/**
 * Whether operators have taken a zone out. An entry VM may run in a zone that the configuration
 * doesn't list, since the zone has no targets; such a zone is not out.
 */
function isZoneOut(state: EntryState, zone: ZoneName): boolean {
  return state.configuration.zones.get(zone)?.state === 'out';
}

/**
 * Returns each holder's weight: the current limit of its targets if known, otherwise their declared
 * slots.
 */
function getWeights(state: EntryState, service: ServiceName): Map<string, number> {
  const peerEstimates = state.requests.traffic.get(service)?.peerEstimates;
  const weights = new Map<string, number>();
  for (const { member, slots } of getServiceHolders(state, service)) {
    const limit = peerEstimates?.get(member.id)?.limit ?? slots;
    weights.set(member.id, Math.max(slots * MIN_WEIGHT_SHARE, Math.min(limit, slots)));
  }
  return weights;
}

function getCandidates(state: EntryState, service: ServiceName): Candidate[] {
  const weights = getWeights(state, service);
  return state.fleet.assignment.members
    .filter((member) => !isLeaving(state, member) && !isZoneOut(state, member.zone))
    .map((member) => ({ member, weight: weights.get(member.id) ?? 0 }));
}

/** Returns a random order in which the chance to come first is proportional to the weight. */
function shuffleByWeight(candidates: readonly Candidate[], random: () => number): Candidate[] {
  return candidates
    .map((candidate) => {
      const weight = Math.max(candidate.weight, Number.MIN_VALUE);
      return { candidate, key: -Math.log(1 - random()) / weight };
    })
    .sort((a, b) => a.key - b.key)
    .map(({ candidate }) => candidate);
}

/**
 * Returns the entry VMs to use for a service, the best first; undefined if the service is unknown.
 * Entry VMs that drive targets of the service come first, and of these the ones in the caller's
 * zone. Within such a group the order is random, weighted by the capacity of the targets. Entry VMs
 * that are leaving or whose zone is out are left out.
 * @param state - The process's state; read only.
 * @param query - The caller's query.
 * @param random - Uniform in [0, 1); spreads callers over equivalent addresses.
 * @example
 * const answer = getAddresses(state, { service: 'horaires' }, Math.random);
 */
export function getAddresses(
  state: EntryState,
  query: AddressQuery,
  random: () => number,
): AddressAnswer | undefined {
  if (getService(state, query.service) === undefined) return undefined;
  const candidates = shuffleByWeight(getCandidates(state, query.service), random);
  const rank = ({ member, weight }: Candidate): number =>
    (weight > 0 ? 0 : 2) + (member.zone === query.zone ? 0 : 1);
  const ordered = candidates.sort((a, b) => rank(a) - rank(b));
  return {
    service: query.service,
    addresses: ordered.slice(0, MAX_ADDRESSES).map(({ member }) => member.address),
    ttlMs: state.settings.addressTtlMs,
    generation: state.configuration.current.generation,
  };
}
