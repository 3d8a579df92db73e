import type { SuspectReport } from '../../crashes/index.js';
import type { Assignment, Member } from './Fleet.js';
import type { ConfigRoot, ServiceObject } from './FleetConfig.js';
import type { EntryVmId, ServiceName, TargetId } from './ids.js';

/** Warm-up phase of a target as seen by its holder. A target of unknown state counts as cold. */
export type TargetPhase = 'cold' | 'warming' | 'warm';

/** State of a target, passed on by the holder that releases it to the next one. */
export interface TargetHandover {
  readonly target: TargetId;
  readonly phase: TargetPhase;
  readonly limit: number;
  /** Requests of the releasing holder that are still outstanding at the target. */
  readonly outstanding: number;
}

/** Spare capacity for a service at one entry VM. */
export interface ServiceSpare {
  readonly service: ServiceName;
  /** Slots that are free now within the limits. */
  readonly slots: number;
  /** Queued requests. */
  readonly queued: number;
  /** Requests that its targets may run concurrently now; increases as they warm up. */
  readonly limit?: number;
}

/** Result of a claim on a request key. */
export type KeyClaimResult =
  /** The key was recorded for this request before anything was sent: it may run. */
  | { readonly kind: 'claimed' }
  /** Another request with the key is running, or its outcome is unknown. */
  | { readonly kind: 'inProgress' }
  /** The key was used with another method, path or body. */
  | { readonly kind: 'mismatch' }
  /** The request has run, with this answer. */
  | { readonly kind: 'completed'; readonly answer: StoredAnswer }
  /** The key could not be recorded: the request must not run. */
  | { readonly kind: 'refused' };

/** An answer kept for replay under a request key. */
export interface StoredAnswer {
  readonly status: number;
  readonly contentType: string;
  /** Base64; absent if the body was too large to be kept. */
  readonly body?: string;
}

/** A recent confirmation, given to a member, that no later epoch was known. */
export interface RecentConfirmation {
  readonly member: EntryVmId;
  /** Milliseconds between the confirmation and this message. */
  readonly agoMs: number;
}

/** The latest time at which an ended or silent process can have acted under an earlier epoch. */
export interface Lapse {
  readonly member: EntryVmId;
  /** Once the time has passed, the process acts under no epoch earlier than this one. */
  readonly before: number;
  /** Milliseconds from now; 0 if its process has ended. */
  readonly remainingMs: number;
  /** True if the process is proven to have ended, so that it never acts under any epoch again. */
  readonly ended: boolean;
}

/**
 * All messages between entry VMs, except forwarded requests. Every message is one-way; an answer is
 * a message of its own.
 */
export type PeerMessage =
  | {
      readonly kind: 'heartbeat';
      readonly appliedEpoch: number;
      readonly generation: number;
      /** Remaining validity of the sender's lease when this was sent, in milliseconds. */
      readonly leaseRemainingMs: number;
      /** Last known store version of the sender's lease; 0 without a lease. */
      readonly leaseVersion: number;
      readonly leaving: boolean;
      readonly spares: readonly ServiceSpare[];
      /** Sequence number of the heartbeats from this sender to this receiver. */
      readonly sequence: number;
      /**
       * Last sequence number that the sender got from the receiver. The receiver knows when it sent
       * that one, which bounds the age of this message: after a pause a process finds old messages
       * queued.
       */
      readonly echo: number;
      /** Age of the sender's confirmation that `generation` is the latest, in milliseconds. */
      readonly confirmedAgoMs: number;
    }
  /** Introduces a process to one that may not know it, and requests the state that it needs. */
  | { readonly kind: 'hello'; readonly member: Member }
  | { readonly kind: 'spare'; readonly spare: ServiceSpare }
  | { readonly kind: 'assignmentTold'; readonly assignment: Assignment }
  | {
      readonly kind: 'assignmentHeard';
      readonly epoch: number;
      /** Members to which the sender recently confirmed an earlier epoch. */
      readonly confirmations: readonly RecentConfirmation[];
    }
  /** Reports which processes can no longer act under earlier epochs. */
  | { readonly kind: 'lapsesTold'; readonly lapses: readonly Lapse[] }
  | { readonly kind: 'confirmAsked'; readonly epoch: number; readonly round: number }
  | {
      readonly kind: 'confirmAnswered';
      /** Highest epoch known to the answering member. */
      readonly knownEpoch: number;
      readonly round: number;
      /** Generation in force at the answering member. */
      readonly generation: number;
      /** Latest generation known to the answering member, in force or not. */
      readonly knownGeneration: number;
    }
  | {
      readonly kind: 'handover';
      readonly epoch: number;
      readonly targets: readonly TargetHandover[];
    }
  | { readonly kind: 'handoverDrained'; readonly target: TargetId; readonly outstanding: number }
  | {
      /** Requests the root if it is later than generation `have`, and the listed descriptions. */
      readonly kind: 'configurationAsked';
      readonly have: number;
      readonly services: readonly { readonly name: ServiceName; readonly hash: string }[];
    }
  | {
      readonly kind: 'configurationTold';
      readonly root?: ConfigRoot;
      readonly services: readonly ServiceObject[];
    }
  | {
      readonly kind: 'keyClaimAsked';
      readonly claim: number;
      readonly service: ServiceName;
      readonly key: string;
      readonly fingerprint: string;
      readonly retentionMs: number;
    }
  | {
      readonly kind: 'keyClaimAnswered';
      readonly claim: number;
      readonly result: KeyClaimResult;
    }
  | {
      /** A claimed request ended: with this answer, or `notRun` if it provably did not run. */
      readonly kind: 'keyEnded';
      readonly claim: number;
      readonly service: ServiceName;
      readonly key: string;
      readonly fingerprint: string;
      readonly end: StoredAnswer | 'notRun';
    }
  /**
   * Acknowledges the end of a claimed request: it was recorded, or the claim no longer holds the
   * key. It need not be sent again.
   */
  | { readonly kind: 'keyEndHeard'; readonly claim: number }
  | {
      readonly kind: 'suspectsTold';
      readonly suspects: readonly SuspectReport[];
    };
