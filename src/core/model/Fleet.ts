import type { EntryVmId, ZoneName } from './ids.js';

/** One run of an entry process, as known to the fleet. */
export interface Member {
  readonly id: EntryVmId;
  readonly zone: ZoneName;
  /** IP address and port that callers connect to. */
  readonly address: string;
  /** IP address and port that other entry VMs connect to. */
  readonly peerAddress: string;
}

/** An earlier epoch whose members may not have released all partitions that they drove in it. */
export interface EarlierEpoch {
  readonly epoch: number;
  readonly members: readonly Member[];
}

/**
 * The store's object `fleet/assignment`. The member that drives a partition is derived from
 * `members` by rendezvous hashing, so the object's size depends on the number of members, not of
 * targets.
 */
export interface Assignment {
  readonly epoch: number;
  readonly members: readonly Member[];
  /** Unsettled epochs, oldest first: some member may still act under them. */
  readonly earlier: readonly EarlierEpoch[];
  /**
   * Distinguishes two writers of the same epoch, so that a writer whose answer was lost can tell
   * whether its write took effect.
   */
  readonly nonce: string;
}

/** The store's object `fleet/members/ID`: a member's lease and status, in one write. */
export interface LeaseRecord {
  readonly member: Member;
  readonly durationMs: number;
  /**
   * Highest epoch that the member acts under. It has released all partitions that are not its own
   * in that epoch.
   */
  readonly appliedEpoch: number;
  readonly generation: number;
  readonly leaving: boolean;
  /** True once the member has finished all work and will send nothing more to targets. */
  readonly released: boolean;
  /** Identifies this write, to recognise it in the store when its answer was lost. */
  readonly nonce: string;
  /** Service-level counters for the burn report; opaque to the core. */
  readonly counters?: unknown;
}
