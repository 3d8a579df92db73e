import type { Assignment, Member } from './Fleet.js';
import type { ConfigRoot, ServiceObject } from './FleetConfig.js';
import type { EntryVmId, ServiceName, TargetId } from './ids.js';

/** Life phases of a target as its holder sees it. Unknown counts as cold. */
export type TargetPhase = 'cold' | 'warming' | 'warm';

/** What the releasing holder of a target tells the next. */
export interface TargetHandover {
  readonly target: TargetId;
  readonly phase: TargetPhase;
  readonly limit: number;
  /** Requests the releasing holder still has there. */
  readonly outstanding: number;
}

/** How a service stands at one entry VM. */
export interface ServiceSpare {
  readonly service: ServiceName;
  /** Slots that are free now under the limits. */
  readonly slots: number;
  /** Requests that wait. */
  readonly queued: number;
  /** Requests that its targets bear at once now; grows as they warm up. */
  readonly limit?: number;
}

/** What became of a claim on a request key. */
export type KeyClaimResult =
  /** The key was recorded for this request before anything was sent: it may run. */
  | { readonly kind: 'claimed' }
  /** Another request with the key runs, or its outcome is not known. */
  | { readonly kind: 'inProgress' }
  /** The key was used with another method, path or body. */
  | { readonly kind: 'mismatch' }
  /** The request ran; this was the answer. */
  | { readonly kind: 'completed'; readonly answer: StoredAnswer }
  /** It could not be recorded and provably was not: nothing may run. */
  | { readonly kind: 'refused' };

/** An answer kept for replay under a request key. */
export interface StoredAnswer {
  readonly status: number;
  readonly contentType: string;
  /** Base64; absent if the body was too large to be kept. */
  readonly body?: string;
}

/** That a member's question about a later epoch was answered in its favour. */
export interface RecentConfirmation {
  readonly member: EntryVmId;
  /** Milliseconds between that answer and this message. */
  readonly agoMs: number;
}

/** When a process that is gone or silent can have sent its last under an earlier epoch. */
export interface Lapse {
  readonly member: EntryVmId;
  /** It acts under no epoch earlier than this once the time has passed. */
  readonly before: number;
  /** Milliseconds from now; 0 if its process has ended. */
  readonly remainingMs: number;
  /** True if the process is proved to have ended, so that it acts under no epoch ever again. */
  readonly ended: boolean;
}

/** Every message between entry VMs but forwarded requests. All are one-way; answers are messages. */
export type PeerMessage =
  | {
      readonly kind: 'heartbeat';
      readonly appliedEpoch: number;
      readonly generation: number;
      /** How long the sender's lease was valid when it sent this, in milliseconds. */
      readonly leaseRemainingMs: number;
      /** Store version of the sender's lease, as far as it knows; 0 without a lease. */
      readonly leaseVersion: number;
      readonly leaving: boolean;
      readonly spares: readonly ServiceSpare[];
      /** Counts the heartbeats from this sender to this receiver. */
      readonly sequence: number;
      /**
       * Last sequence number heard from the receiver. The receiver knows when it sent that one, so
       * it can tell how old this message may be: a process that was paused finds old ones waiting.
       */
      readonly echo: number;
      /** How old the sender's word is that `generation` is the latest, in milliseconds. */
      readonly confirmedAgoMs: number;
    }
  /** Makes a process known to one that may not know it yet, and asks for what it should know. */
  | { readonly kind: 'hello'; readonly member: Member }
  | { readonly kind: 'spare'; readonly spare: ServiceSpare }
  | { readonly kind: 'assignmentTold'; readonly assignment: Assignment }
  | {
      readonly kind: 'assignmentHeard';
      readonly epoch: number;
      /** To which members the sender lately bore out an earlier epoch. */
      readonly confirmations: readonly RecentConfirmation[];
    }
  /** Tells which processes can't act under earlier epochs any more. */
  | { readonly kind: 'lapsesTold'; readonly lapses: readonly Lapse[] }
  | { readonly kind: 'confirmAsked'; readonly epoch: number; readonly round: number }
  | {
      readonly kind: 'confirmAnswered';
      /** Highest epoch the answering member knows of. */
      readonly knownEpoch: number;
      readonly round: number;
      /** Generation in force at the answering member. */
      readonly generation: number;
      /** Latest generation that it knows of, in force or not. */
      readonly knownGeneration: number;
    }
  | {
      readonly kind: 'handover';
      readonly epoch: number;
      readonly targets: readonly TargetHandover[];
    }
  | { readonly kind: 'handoverDrained'; readonly target: TargetId; readonly outstanding: number }
  | {
      /** Asks for the root if it is later than `have`, and for the descriptions named. */
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
      /** The claimed request ended: its answer, or `notRun` if it provably did not run. */
      readonly kind: 'keyEnded';
      readonly claim: number;
      readonly service: ServiceName;
      readonly key: string;
      readonly fingerprint: string;
      readonly end: StoredAnswer | 'notRun';
    }
  /** The end of a claimed request is recorded, or can't be any more; it need not be told again. */
  | { readonly kind: 'keyEndHeard'; readonly claim: number }
  | {
      readonly kind: 'suspectsTold';
      readonly suspects: readonly CrashSuspect[];
    };

/** A request shape that was outstanding at targets when they died. */
export interface CrashSuspect {
  readonly service: ServiceName;
  readonly fingerprint: string;
  /** Targets that died holding it. */
  readonly crashes: number;
  /** How long the entry is still to be kept, in milliseconds. */
  readonly remainingMs: number;
  readonly reporter: EntryVmId;
}
