import type {
  AttemptId,
  CallId,
  ConfigRoot,
  EntryVmId,
  FleetConfig,
  KeyClaimResult,
  PartitionId,
  PeerMessage,
  RequestId,
  ServiceName,
  ServiceObject,
  ServiceSpare,
  StoredAnswer,
  StoreOp,
  StoreResult,
  TargetHandover,
  TargetId,
  VmListEntry,
} from './model/index.js';

/** The head of a request has been read, which came from a caller or was forwarded by a peer. */
export interface RequestArrived {
  readonly kind: 'requestArrived';
  readonly request: RequestId;
  readonly service: ServiceName;
  /** Caller's name or IP address; a service's slots are shared fairly among callers. */
  readonly caller: string;
  readonly method: string;
  /** Hash of method, path and, for requests with a key, the body. */
  readonly fingerprint: string;
  /** Value of the Idempotency-Key header. */
  readonly key?: string;
  /** Deadline that the caller set; monotonic milliseconds of this process. */
  readonly deadlineAt?: number;
  /**
   * Set if a peer forwarded the request: it is not forwarded again, and the peer has claimed its
   * key.
   */
  readonly forwardedBy?: EntryVmId;
}

/** The caller closed its connection or cancelled the request. */
export interface RequestCancelled {
  readonly kind: 'requestCancelled';
  readonly request: RequestId;
}

/** The head of an attempt's answer has arrived; nothing of it has been sent to the caller yet. */
export interface AttemptAnswered {
  readonly kind: 'attemptAnswered';
  readonly attempt: AttemptId;
  readonly status: number;
  /** Set if the peer that the request was forwarded to made the answer itself. */
  readonly ownOutcome?: LocalOutcome;
  /** Spare capacity for the service at the peer that answered. */
  readonly spare?: ServiceSpare;
  readonly load?: LoadReport;
  readonly retryAfterMs?: number;
}

/** How an attempt ended. */
export type AttemptEnd =
  /** The whole answer was received. */
  | 'complete'
  /** No byte of the request was sent, since no connection was established. */
  | 'notSent'
  /** The connection was lost before the answer began; part of the request may have been sent. */
  | 'reset'
  /** The answer began but was not completed. */
  | 'cut'
  /** Cancelled by this process, because the caller left or because time ran out. */
  | 'cancelled'
  /** The deadline passed. */
  | 'timedOut';

/** An attempt ended and its slot is free. Occurs exactly once for each attempt. */
export interface AttemptEnded {
  readonly kind: 'attemptEnded';
  readonly attempt: AttemptId;
  readonly end: AttemptEnd;
  /** False once the request's body can no longer be sent again from its start. */
  readonly bodyReplayable: boolean;
  /** The whole answer, if the request has a key and the answer is small enough to be stored. */
  readonly stored?: StoredAnswer;
}

/**
 * What a target reports about itself. It may lag or be wrong, so it may lower a limit but never
 * raise it.
 */
export interface LoadReport {
  /** Changes when the target's process restarts. */
  readonly bootId?: string;
  /** Share of its slots in use, between 0 and 1. */
  readonly load?: number;
  readonly draining?: boolean;
}

/** A connection to a target was opened or closed. */
export interface ConnectionChanged {
  readonly kind: 'connectionChanged';
  readonly target: TargetId;
  readonly change: 'opened' | 'closed';
}

/** A probe of a target ended. */
export interface ProbeEnded {
  readonly kind: 'probeEnded';
  readonly target: TargetId;
  readonly end: 'healthy' | 'unhealthy' | 'notSent' | 'reset' | 'timedOut';
  readonly load?: LoadReport;
}

/** A store call ended. */
export interface StoreAnswered {
  readonly kind: 'storeAnswered';
  readonly call: CallId;
  readonly result: StoreResult;
}

/** A message from another entry VM arrived. */
export interface PeerMessageArrived {
  readonly kind: 'peerMessageArrived';
  readonly from: EntryVmId;
  readonly message: PeerMessage;
}

/**
 * A message could not be delivered. `refused`: the peer's VM refused the connection because nothing
 * listens on the port, so the process has ended; a paused process would still accept connections.
 */
export interface PeerSendFailed {
  readonly kind: 'peerSendFailed';
  readonly peer: EntryVmId;
  readonly reason: 'refused' | 'unreachable';
}

/** The platform's VM list was read. */
export interface VmListRead {
  readonly kind: 'vmListRead';
  readonly vms: readonly VmListEntry[];
}

/** A publisher sent an accepted configuration to this process directly. */
export interface ConfigurationPushed {
  readonly kind: 'configurationPushed';
  readonly root: ConfigRoot;
  readonly services: readonly ServiceObject[];
}

/** Jobs that the timer service runs periodically. */
export type PeriodicJob = keyof typeof JOB_PERIODS_MS;

/** Interval between two runs of each job, in milliseconds. */
export const JOB_PERIODS_MS = {
  heartbeat: 200,
  lease: 250,
  membership: 250,
  storeQueue: 10,
  keyCommit: 20,
  watchConfiguration: 100,
  targets: 10,
  queues: 5,
  probes: 50,
  suspects: 1_000,
  housekeeping: 1_000,
} as const;

/** A periodic job is due. */
export interface JobDue {
  readonly kind: 'jobDue';
  readonly job: PeriodicJob;
}

/** A graceful shutdown was requested (SIGTERM). */
export interface StopAsked {
  readonly kind: 'stopAsked';
}

/** Purpose of a store call, by which the part that requested it recognises the result. */
export type StorePurpose =
  | 'leaseWrite'
  | 'leaseRead'
  | 'assignmentWrite'
  | 'assignmentRead'
  | 'memberRead'
  | 'memberList'
  | 'memberDelete'
  | 'rootRead'
  | 'rootWatch'
  | 'serviceRead'
  | 'keyRead'
  | 'keyWrite';

/** Events that one part of the core raises for another; handled in the same step. */
export type InternalEvent =
  | {
      readonly kind: 'keyClaimResolved';
      readonly request: RequestId;
      readonly result: KeyClaimResult;
    }
  /** A request with a claimed key ended. */
  | {
      readonly kind: 'keyedRequestEnded';
      readonly request: RequestId;
      readonly end: StoredAnswer | 'notRun' | 'unknown';
    }
  | { readonly kind: 'partitionsGained'; readonly partitions: readonly PartitionId[] }
  | {
      readonly kind: 'partitionsLost';
      readonly partitions: readonly PartitionId[];
      readonly epoch: number;
    }
  | {
      readonly kind: 'configurationAdopted';
      readonly config: FleetConfig;
      /** Services that were added, changed or removed, or whose list of targets changed. */
      readonly changed: readonly ServiceName[];
    }
  /** Partitions were granted whose previous holder had sent the state of their targets. */
  | { readonly kind: 'handoverReady'; readonly targets: readonly TargetHandover[] }
  /** A store call that a part requested through `enqueueStoreCall` ended. */
  | {
      readonly kind: 'storeResolved';
      readonly purpose: StorePurpose;
      /** Tag that the part passed in to identify the call. */
      readonly tag: string;
      readonly op: StoreOp;
      readonly result: StoreResult;
      /** When the call was sent; monotonic milliseconds. */
      readonly sentAt: number;
    }
  | { readonly kind: 'spareHeard'; readonly peer: EntryVmId; readonly spare: ServiceSpare }
  | { readonly kind: 'stopMayFinish' };

/** Everything that can happen to an entry VM. */
export type CoreEvent =
  | RequestArrived
  | RequestCancelled
  | AttemptAnswered
  | AttemptEnded
  | ConnectionChanged
  | ProbeEnded
  | StoreAnswered
  | PeerMessageArrived
  | PeerSendFailed
  | VmListRead
  | ConfigurationPushed
  | JobDue
  | StopAsked
  | InternalEvent;

/** Whether a request that masticlink answers itself has run; `not-run` only if that is certain. */
export type LocalOutcome = 'not-run' | 'unknown';
