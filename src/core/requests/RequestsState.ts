import type { Destination } from '../effects.js';
import type { RequestArrived } from '../events.js';
import type {
  AttemptId,
  EntryVmId,
  RequestId,
  ServiceConfig,
  ServiceName,
  TargetId,
} from '../model/index.js';
import type { HolderCache } from './holders.js';
import type { ServiceTraffic } from './ServiceTraffic.js';

/** Stage of a request between its arrival and the end of its answer. */
export type RequestStage = 'claiming' | 'queued' | 'waitingAlone' | 'sent' | 'relaying' | 'closed';

/** State of one request, from its arrival until it is closed. */
export interface RequestRecord {
  readonly id: RequestId;
  readonly arrived: RequestArrived;
  readonly service: ServiceConfig;
  readonly deadlineAt: number;
  /** Whether its method is idempotent for the service, so that it may run more than once. */
  readonly isRepeatable: boolean;
  /** Attempts that have neither ended nor been refused. */
  readonly attempts: Set<AttemptId>;
  stage: RequestStage;
  /** Attempt whose answer is relayed to the caller; undefined until an answer was chosen. */
  relayedAttempt?: AttemptId;
  /** Whether an attempt ended without proof that the request did not run. */
  hasPossiblyRun: boolean;
  /** Whether an attempt ended so that the request may only be resent if it is repeatable. */
  isResendBarred: boolean;
  readonly triedTargets: TargetId[];
  readonly triedPeers: EntryVmId[];
  /** Number of times that it was resent because its target or peer was lost. */
  lostAttempts: number;
  isHedged: boolean;
  /** Whether its key is claimed and the keys part has not been told yet how the request ended. */
  hasClaimedKey: boolean;
  /** Retry delay that the last refusing peer gave with its refusal, in milliseconds. */
  peerRetryAfterMs?: number;
}

/** One attempt to send a request to a target or peer. */
export interface AttemptRecord {
  readonly owner: RequestRecord;
  readonly to: Destination;
  readonly startedAt: number;
  isAnswered: boolean;
  /**
   * Set once its answer can no longer be relayed: `refused` if the request certainly did not run
   * there, `dropped` if another attempt answered first or the request was closed.
   */
  closedAs?: 'refused' | 'dropped';
}

/** State of the requests in this process. */
export interface RequestsState {
  nextAttempt: AttemptId;
  readonly requests: Map<RequestId, RequestRecord>;
  readonly attempts: Map<AttemptId, AttemptRecord>;
  readonly traffic: Map<ServiceName, ServiceTraffic>;
  readonly holders: HolderCache;
  /** Time of the last event that this part handled; monotonic milliseconds. */
  lastEventAt: number;
  /** Token bucket for messages about spare slots: tokens left, and when it was last refilled. */
  spareMessageTokens: number;
  spareTokensRefilledAt: number;
}

/** Creates the state of a process without requests. */
export function createRequestsState(): RequestsState {
  return {
    nextAttempt: 1,
    requests: new Map(),
    attempts: new Map(),
    traffic: new Map(),
    holders: new Map(),
    lastEventAt: 0,
    spareMessageTokens: 0,
    spareTokensRefilledAt: 0,
  };
}
