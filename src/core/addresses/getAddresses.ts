import { getService } from '../configuration/index.js';
import type { EntryState } from '../EntryState.js';
import type { Member, ServiceName, ZoneName } from '../model/index.js';
import { getServiceHolders } from '../requests/index.js';

/** What a caller asks with. */
export interface AddressQuestion {
  readonly service: ServiceName;
  /** The caller's own zone, if it has one. */
  readonly zone?: ZoneName;
}

/** Which entry VMs a caller may connect to, the best first. */
export interface AddressAnswer {
  readonly service: ServiceName;
  readonly addresses: readonly string[];
  /** How long the caller may keep the answer, in milliseconds. */
  readonly ttlMs: number;
  readonly generation: number;
}

/** Addresses in an answer: the first to use, the others for when it fails. */
const MOST_ADDRESSES = 6;
/** Share of the declared slots that a holder counts for while its targets are all cold. */
const LEAST_SHARE = 0.1;

interface Candidate {
  readonly member: Member;
  /** What its targets of the service bear; 0 for one that drives none. */
  readonly weight: number;
}

function isLeaving(state: EntryState, member: Member): boolean {
  if (member.id === state.settings.self.id) return state.fleet.stopping;
  return state.fleet.peers.get(member.id)?.leaving === true;
}

/**
 * Whether a zone is out. Entry VMs may stand in a zone that the configuration doesn't name, since
 * it has no targets: only a zone that is named and out keeps them from being used.
 */
function isZoneClosed(state: EntryState, zone: ZoneName): boolean {
  return state.configuration.zones.get(zone)?.state === 'out';
}

/** What a member's targets bear now where that is known, or else what they are declared to. */
function getWeights(state: EntryState, service: ServiceName): Map<string, number> {
  const beliefs = state.requests.traffic.get(service)?.peerEstimates;
  const weights = new Map<string, number>();
  for (const { member, slots } of getServiceHolders(state, service)) {
    const limit = beliefs?.get(member.id)?.limit ?? slots;
    weights.set(member.id, Math.max(slots * LEAST_SHARE, Math.min(limit, slots)));
  }
  return weights;
}

function getCandidates(state: EntryState, service: ServiceName): Candidate[] {
  const weights = getWeights(state, service);
  return state.fleet.assignment.members
    .filter((member) => !isLeaving(state, member) && !isZoneClosed(state, member.zone))
    .map((member) => ({ member, weight: weights.get(member.id) ?? 0 }));
}

/** A random order in which each comes first as often as its weight says. */
function shuffle(candidates: readonly Candidate[], random: () => number): Candidate[] {
  return candidates
    .map((candidate) => {
      const weight = Math.max(candidate.weight, Number.MIN_VALUE);
      return { candidate, key: -Math.log(1 - random()) / weight };
    })
    .sort((a, b) => a.key - b.key)
    .map(({ candidate }) => candidate);
}

/**
 * The entry VMs to use for a service, the best first; undefined if no service is called so. Those
 * that drive targets of it come first, in the caller's zone before others, each as often as its
 * targets bear; no entry VM that is leaving or whose zone is out is named.
 * @param state - The process's state; read only.
 * @param question - What the caller asks.
 * @param random - Uniform in [0, 1); spreads callers over addresses of like worth.
 * @example
 * const answer = getAddresses(state, { service: 'horaires' }, Math.random);
 */
export function getAddresses(
  state: EntryState,
  question: AddressQuestion,
  random: () => number,
): AddressAnswer | undefined {
  if (getService(state, question.service) === undefined) return undefined;
  const candidates = shuffle(getCandidates(state, question.service), random);
  const rank = ({ member, weight }: Candidate): number =>
    (weight > 0 ? 0 : 2) + (member.zone === question.zone ? 0 : 1);
  const ordered = candidates.sort((a, b) => rank(a) - rank(b));
  return {
    service: question.service,
    addresses: ordered.slice(0, MOST_ADDRESSES).map(({ member }) => member.address),
    ttlMs: state.settings.addressTtlMs,
    generation: state.configuration.current.generation,
  };
}
