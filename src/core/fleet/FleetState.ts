import type { Assignment, EntryVmId, Member, PartitionId, TargetHandover } from '../model/index.js';
import type { CoreSettings } from '../settings.js';

/** A sent heartbeat. Its send time dates the reply that echoes its sequence number. */
export interface SentHeartbeat {
  readonly sequence: number;
  readonly at: number;
}

/** Another entry VM, as known to this process. Times are monotonic milliseconds of this process. */
export interface Peer {
  readonly member: Member;
  /** When its last message arrived; before the first message, when it became known. */
  lastHeardAt: number;
  /** True once a message arrived from it. */
  hasBeenHeard: boolean;
  appliedEpoch: number;
  generation: number;
  leaving: boolean;
  /** Latest time at which its lease ends, according to its last heartbeat. */
  leaseEndsBy: number;
  /** Store version of its lease, according to its last heartbeat; 0 without a lease. */
  leaseVersion: number;
  /** Highest sequence number of the heartbeats that arrived from it. */
  lastReceivedSequence: number;
  /** Most recent heartbeats sent to it, oldest first. */
  readonly sentHeartbeats: SentHeartbeat[];
  /** Latest epoch that it acknowledged with `assignmentHeard`; 0 before the first one. */
  ackedEpoch: number;
  /** Members to which it confirmed an earlier epoch, each with the latest possible time of that. */
  readonly confirmations: Map<EntryVmId, number>;
  /** When the assignment was last sent to it. */
  assignmentSentAt: number;
}

/** This process's lease and its object in the store. */
export interface OwnLease {
  /** Version of the object; 0 if there is none. */
  version: number;
  /**
   * True once the assignment was read after the lease object was created. The lease is valid only
   * from then on. Otherwise a process whose lease object was deleted could create a new one while
   * the assignment that it knows is being replaced, and act under the old one for a whole lease.
   */
  isActive: boolean;
  /** Recent writes whose result may still become known: send time by nonce. */
  readonly writes: Map<string, number>;
  isPending: boolean;
  nextNonce: number;
  /** End of the lease as renewed in the store. */
  storeExpiry: number;
  /** End of the lease as confirmed by a majority of members that know of no later epoch. */
  majorityExpiry: number;
  lastWriteAt: number;
}

/** What this process learned from the store about the lease of another member. */
export interface Fence {
  isPending: boolean;
  /** Epoch of this process when the pending store call was made. */
  epochAtCall: number;
  /** Latest version of the lease that the store reported; 0 if it is gone, undefined at first. */
  observedVersion?: number;
  /** Send time of the read that first returned that version. */
  observedSince: number;
  /** When that read was answered: the version was written before then. */
  writtenBefore: number;
  /** Send time of the last read. */
  lastReadAt: number;
  /** Send time of the last read that was answered. */
  lastAnsweredReadAt: number;
  /** Latest time at which the lease ends; set once the lease object is gone. */
  leaseEndsBy?: number;
  /** Epoch that was already written when the lease object was found gone. */
  fencedEpoch: number;
}

/** From `at` on, a process acts under no epoch earlier than `before`. */
export interface KnownLapse {
  readonly before: number;
  readonly at: number;
}

/** One request to all members to confirm that they know of no later epoch or configuration. */
export interface ConfirmationRound {
  readonly round: number;
  readonly epoch: number;
  readonly sentAt: number;
  /** Members that know of no later epoch. */
  readonly epochAcks: Set<EntryVmId>;
  /** Members that know of no later configuration. */
  readonly configAcks: Set<EntryVmId>;
}

/** State of targets sent by their releasing holder, kept until their partitions are granted. */
export interface PendingHandover {
  readonly epoch: number;
  readonly targets: readonly TargetHandover[];
}

/** A hand-over that is sent several times, since a message may be lost. */
export interface OutgoingHandover extends PendingHandover {
  readonly to: Member;
  sendsLeft: number;
}

/** State of this process's attempts to change the assignment. */
export interface AssignmentWrite {
  /** Store version of the known assignment; undefined if unknown, as when a peer sent it. */
  version?: number;
  isPending: boolean;
  /** The assignment that is being written; applied once the write succeeds. */
  proposed?: Assignment;
  failures: number;
  notBefore: number;
  /** Processes that hold a lease and wait to become members. */
  joiners: readonly Member[];
  /** When the lease objects in the store were last listed. */
  listedAt: number;
  /** When the current epoch was applied in this process. */
  appliedAt: number;
  /** Epoch that this process distributes and settles, usually as its writer; 0 if none. */
  managedEpoch: number;
}

/** Membership of the fleet, holders of its partitions, and the lease of this process. */
export interface FleetState {
  assignment: Assignment;
  readonly peers: Map<EntryVmId, Peer>;
  /** Partitions that this process drives: assigned to it and released by all earlier holders. */
  readonly granted: Set<PartitionId>;
  /** This process sends nothing to targets after this time; monotonic milliseconds. */
  leaseEnd: number;
  stopping: boolean;
  stopRequestedAt: number;
  hasExited: boolean;
  /** Since when a closing process has had no open request. */
  idleSince?: number;
  readonly lease: OwnLease;
  readonly write: AssignmentWrite;
  /** Members to remove: their process ended, or they are silent and do not renew their lease. */
  readonly departed: Set<EntryVmId>;
  /** Processes that are proven to have ended. */
  readonly ended: Set<EntryVmId>;
  /** Leases of other members, as observed in the store. */
  readonly fences: Map<EntryVmId, Fence>;
  /** Known lapses by process. */
  readonly lapses: Map<EntryVmId, readonly KnownLapse[]>;
  /** Earlier holders that may still drive partitions of this process, and since when they block. */
  readonly blockers: Map<EntryVmId, number>;
  readonly confirmationRounds: ConfirmationRound[];
  nextRound: number;
  /** Members to which this process confirmed that it knows of no later epoch, and when. */
  readonly givenConfirmations: Map<EntryVmId, number>;
  /** Hand-overs that arrived, by sender. */
  readonly handovers: Map<EntryVmId, PendingHandover>;
  readonly outgoingHandovers: OutgoingHandover[];
  /** Cache of holders by epoch and partition. */
  readonly holdersByEpoch: Map<number, Map<PartitionId, EntryVmId | undefined>>;
  /** Members in ring order, without this process. */
  ring: readonly EntryVmId[];
  /** Counts rounds of heartbeats, to rotate over receivers and services. */
  rotation: number;
  /** When the last round of heartbeats was sent. */
  lastHeartbeatAt: number;
  /** Members whose VM is missing from the platform's list, and since when. */
  readonly missingVms: Map<EntryVmId, number>;
}

/**
 * Creates the state of a process that knows only itself.
 * @param settings - The process's settings.
 * @param now - Monotonic milliseconds.
 */
export function createFleetState(settings: CoreSettings, now: number): FleetState {
  return {
    assignment: { epoch: 0, members: [settings.self], earlier: [], nonce: '' },
    peers: new Map(),
    granted: new Set(),
    leaseEnd: Number.NEGATIVE_INFINITY,
    stopping: false,
    stopRequestedAt: 0,
    hasExited: false,
    lease: {
      version: 0,
      isActive: false,
      writes: new Map(),
      isPending: false,
      nextNonce: 1,
      storeExpiry: Number.NEGATIVE_INFINITY,
      majorityExpiry: Number.NEGATIVE_INFINITY,
      lastWriteAt: Number.NEGATIVE_INFINITY,
    },
    write: {
      isPending: false,
      failures: 0,
      notBefore: now,
      joiners: [],
      listedAt: Number.NEGATIVE_INFINITY,
      appliedAt: now,
      managedEpoch: 0,
    },
    departed: new Set(),
    ended: new Set(),
    fences: new Map(),
    lapses: new Map(),
    blockers: new Map(),
    confirmationRounds: [],
    nextRound: 1,
    givenConfirmations: new Map(),
    handovers: new Map(),
    outgoingHandovers: [],
    holdersByEpoch: new Map(),
    ring: [],
    rotation: 0,
    lastHeartbeatAt: Number.NEGATIVE_INFINITY,
    missingVms: new Map(),
  };
}
