import type { EntryState } from '../EntryState.js';
import type { EntryVmId, RequestId, ServiceName } from '../model/index.js';
import type { RequestRecord } from './RequestsState.js';
import { ServiceQueue } from './ServiceQueue.js';

/** What this process last knew of a service at a peer, and its own forwards to that peer. */
export interface PeerEstimate {
  /** Free slots as last reported, minus the requests forwarded since. */
  slots: number;
  queued: number;
  limit?: number;
  updatedAt: number;
  /** Consecutive forwards that the peer refused; reset when it reports free slots. */
  refusals: number;
  /** Forwards to the peer that have not ended. */
  inFlight: number;
  /** When the peer last reported on the service or, if later, the first open forward was sent. */
  silentSince: number;
  /** After a failed connection the peer is not tried before this time; monotonic milliseconds. */
  unreachableUntil: number;
}

/** A peer that has requests waiting and could forward some of them here. */
export interface QueuedPeer {
  queued: number;
  readonly firstReportedAt: number;
}

/** The requests of one service in this process. */
export interface ServiceTraffic {
  readonly queue: ServiceQueue;
  /** Last time the longest wait was within the service's `standingMs`; see `standingQueue`. */
  belowTargetAt: number;
  isStanding: boolean;
  /** Number of requests in this process that are not closed. */
  openRequests: number;
  /** Requests sent from here that may be hedged, in the order in which they were first sent. */
  readonly hedgeable: Map<RequestId, RequestRecord>;
  /** Crash suspects that wait for an empty target or run alone on one, in order of arrival. */
  readonly alone: RequestRecord[];
  readonly peerEstimates: Map<EntryVmId, PeerEstimate>;
  readonly queuedPeers: Map<EntryVmId, QueuedPeer>;
  /** Slots that peers were invited to use and have not used yet; void at `invitationsExpireAt`. */
  invitedSlots: number;
  invitationsExpireAt: number;
}

/**
 * Returns the requests of a service in this process, creating an empty record on first use.
 * @param state - The process's state.
 * @param service - The service's name.
 */
export function getTraffic(state: EntryState, service: ServiceName): ServiceTraffic {
  let traffic = state.requests.traffic.get(service);
  if (traffic === undefined) {
    traffic = {
      queue: new ServiceQueue(),
      belowTargetAt: 0,
      isStanding: false,
      openRequests: 0,
      hedgeable: new Map(),
      alone: [],
      peerEstimates: new Map(),
      queuedPeers: new Map(),
      invitedSlots: 0,
      invitationsExpireAt: 0,
    };
    state.requests.traffic.set(service, traffic);
  }
  return traffic;
}
