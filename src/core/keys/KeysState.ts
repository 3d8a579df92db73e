import type {
  EntryVmId,
  RequestId,
  ServiceName,
  StoredAnswer,
  StoreVersion,
} from '../model/index.js';

/** A claim that this process sent to a key's home for one of its own requests. */
export interface LocalClaim {
  readonly claim: number;
  readonly request: RequestId;
  readonly service: ServiceName;
  readonly key: string;
  readonly fingerprint: string;
  readonly retentionMs: number;
  lastSentAt: number;
  sendCount: number;
  /** The claim is abandoned at this time; monotonic milliseconds. */
  readonly deadlineAt: number;
}

/**
 * The end of a request whose claim succeeded or was abandoned, until the home acknowledges it.
 */
export interface UnacknowledgedEnd {
  readonly claim: number;
  readonly service: ServiceName;
  readonly key: string;
  readonly fingerprint: string;
  readonly end: StoredAnswer | 'notRun';
  sendCount: number;
  nextSendAt: number;
}

/** One request key as recorded by its home. Times are monotonic milliseconds of this process. */
export interface KeyRecord {
  /** Service and key, as `SERVICE|KEY`. */
  readonly id: string;
  readonly fingerprint: string;
  /** Process and claim that hold the key, as `PROCESS:CLAIM`. */
  readonly owner: string;
  readonly expiresAt: number;
  readonly answer?: StoredAnswer;
  readonly isDone: boolean;
  readonly recordedAt: number;
  /** Store key of the segment that holds the record; absent while the partition's head holds it. */
  readonly segment?: string;
}

/** A claim that waits at the key's home to be recorded. */
export interface QueuedClaim {
  readonly id: string;
  readonly fingerprint: string;
  readonly owner: string;
  readonly from: EntryVmId;
  readonly claim: number;
  readonly retentionMs: number;
  /** The claim is refused if it has not been recorded by this time. */
  readonly deadlineAt: number;
}

/** The reported end of a claimed request, waiting at the key's home to be recorded. */
export interface QueuedEnd {
  readonly id: string;
  readonly owner: string;
  readonly from: EntryVmId;
  readonly claim: number;
  readonly end: StoredAnswer | 'notRun';
  /** Dropped if not recorded by this time; its origin reports it again. */
  readonly deadlineAt: number;
}

/** A segment of immutable records, stored in an object of its own beside the head. */
export interface KeySegment {
  readonly key: string;
  readonly expiresAt: number;
  isLoaded: boolean;
}

/** A write of a partition's head, with the state that takes effect once the write succeeds. */
export interface KeyWrite {
  readonly nonce: string;
  readonly value: unknown;
  readonly head: Map<string, KeyRecord>;
  readonly segments: KeySegment[];
  /** Claims that the write records and that have not been answered yet. */
  claims: QueuedClaim[];
  readonly ends: readonly QueuedEnd[];
  /** Store keys of expired segments that the new head no longer lists. */
  readonly expiredSegmentKeys: readonly string[];
  /** Segment that the new head lists for the first time; its records leave the head. */
  readonly newSegment?: NewSegment;
  /** True once the store's answer is known to be lost, so that the head has to be read back. */
  isOutcomeUnknown: boolean;
}

/** Finished records that move from the head to a new segment. */
export interface NewSegment {
  readonly key: string;
  readonly records: readonly KeyRecord[];
}

/** A share of all request keys, recorded by one home in one head object and its segments. */
export interface KeyPartition {
  readonly number: number;
  /** Store version of the head; undefined until the head has been read. */
  version?: StoreVersion;
  isReading: boolean;
  /** When the local copy was last known to match the store. */
  verifiedAt: number;
  /** Records in the head, by `KeyRecord.id`. */
  head: Map<string, KeyRecord>;
  /** Records in segments, by `KeyRecord.id`. */
  archived: Map<string, KeyRecord>;
  segments: KeySegment[];
  claims: QueuedClaim[];
  ends: QueuedEnd[];
  write?: KeyWrite;
  /** Segment whose write is in progress. */
  pendingSegment?: NewSegment;
  /** Segment that has been written and that the next head will list. */
  writtenSegment?: NewSegment;
  /** True if the head has to be written even without a queued claim or end. */
  isDirty: boolean;
  usedAt: number;
  nextNonce: number;
}

/** Claims on request keys that this process has sent, and the partitions it is the home of. */
export interface KeysState {
  nextClaimId: number;
  readonly claims: Map<number, LocalClaim>;
  /** Successful claims whose requests have not ended yet. */
  readonly running: Map<RequestId, LocalClaim>;
  readonly ends: Map<number, UnacknowledgedEnd>;
  /**
   * Claims whose requests were refused. If the home reports one as recorded after all, its key is
   * released.
   */
  readonly abandonedClaims: Map<number, LocalClaim>;
  readonly partitions: Map<number, KeyPartition>;
}

/** Creates the state of a process that has seen no request key yet. */
export function createKeysState(): KeysState {
  return {
    nextClaimId: 1,
    claims: new Map(),
    running: new Map(),
    ends: new Map(),
    abandonedClaims: new Map(),
    partitions: new Map(),
  };
}
