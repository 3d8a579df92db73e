import type { AttemptId, RequestId, ServiceName, TargetId, ZoneName } from '../core/model/index.js';
import type { CrashNews } from '../crashes/index.js';
import type { LimitedTarget, LimitReport, PermitAnswer, PermitAsk } from '../limits/index.js';
import type { QuotaAnswer, QuotaAsk } from '../quotas/index.js';
import type { RolloutGuidance, RolloutOrder } from '../rollouts/index.js';
import type {
  LoadReading,
  OutcomeReport,
  AdvertisedLimit,
  RoutingTable,
  TargetRegistration,
  TargetStatements,
} from './model.js';

/** A caller's request has arrived completely. */
export interface RequestArrived {
  readonly kind: 'requestArrived';
  readonly request: RequestId;
  /** Id that the caller gave the request, used to find it in the log; undefined if it gave none. */
  readonly callerRequestId: string | undefined;
  /** Hash of what the request asks for, the same for its copies at all entry VMs. */
  readonly fingerprint: string;
  readonly host: string;
  /** Path with its query string. */
  readonly path: string;
  /** Timeout of the caller, in milliseconds after `arrivedAt`; undefined if it sent none. */
  readonly allowedMs: number | undefined;
  /** When the request's headers were read; monotonic milliseconds. */
  readonly arrivedAt: number;
  /** Set if another VM, which does not reach the targets, has passed the request on. */
  readonly forwarded?: ForwardTerms;
  /** Digest of the caller's API key; undefined if it sent none. */
  readonly keyDigest?: string;
}

/** What a VM decides on a request that it passes on. */
export interface ForwardTerms {
  /** Maximum number of targets that the request may still be sent to. */
  readonly maxTargets: number;
  /**
   * Time since the caller's first try, in milliseconds; undefined if it has to be estimated. What a
   * forwarded request allows says nothing about it.
   */
  readonly sinceFirstMs: number | undefined;
  /** Service that the request is for, chosen among those of its route; undefined if none was. */
  readonly service: ServiceName | undefined;
}

/** The caller closed its connection before it received an answer. */
export interface CallerLeft {
  readonly kind: 'callerLeft';
  readonly request: RequestId;
}

/** Result of a probe. */
export type ProbeResult =
  | ({
      readonly kind: 'answered';
      readonly reading: LoadReading;
      readonly coldMs: number;
      readonly limit?: AdvertisedLimit;
      /** Whether it names no target, so that another process at the address may have made it. */
      readonly isAnonymous?: boolean;
    } & TargetStatements)
  /** Another target now has the address, or the target has restarted. */
  | { readonly kind: 'stranger' }
  | { readonly kind: 'refused' }
  | { readonly kind: 'silent' }
  /** The connection was established and ended without an answer. */
  | { readonly kind: 'unanswered' }
  /** The answer was unreadable. */
  | ({ readonly kind: 'broken' } & TargetStatements);

export interface ProbeEnded {
  readonly kind: 'probeEnded';
  readonly target: TargetId;
  readonly bornAt: number;
  readonly end: ProbeResult;
}

/** Result of an attempt. */
export type AttemptResult =
  /** A complete answer to the request, ready to be delivered. */
  | ({
      readonly kind: 'answered';
      readonly status: number;
      readonly reading?: LoadReading;
      readonly limit?: AdvertisedLimit;
    } & TargetStatements)
  /** The target reported that it has not run the request and will not run it. */
  | ({
      readonly kind: 'rejected';
      readonly reading?: LoadReading;
      readonly limit?: AdvertisedLimit;
    } & TargetStatements)
  /** Another target now has the address; it has not run the request. */
  | { readonly kind: 'misdirected' }
  /** No connection was established, so nothing was sent. */
  | { readonly kind: 'unsent' }
  /** The connection broke after the request was sent and before the answer was complete. */
  | { readonly kind: 'broken' }
  /** The answer belongs to another request, or was corrupted on the way. */
  | ({ readonly kind: 'spoilt' } & TargetStatements);

/** Which check of its head an answer has failed. */
export type SpoiltCheck =
  /** It names another request. */
  | 'otherId'
  /** It names no request. */
  | 'noId'
  /** It is a success without a signature. */
  | 'unsigned'
  | 'encoded'
  /** Too many interim answers came before it. */
  | 'interimAnswers';

/** The connection on which a request was sent. */
export interface ConnectionFacts {
  /** Whether it was established before this request. */
  readonly isKept: boolean;
  /** Requests and probes that it had carried before. */
  readonly requests: number;
  readonly probes: number;
  /** Time since its first use, in milliseconds. */
  readonly ageMs: number;
  /** Bytes of this request that were handed to the system. */
  readonly sentBytes: number;
}

/** What is known of a sending besides its result; only logged. */
export interface SendingFacts {
  /** Status of the answer; undefined if there was none. */
  readonly status?: number;
  /** Which request the answer named. */
  readonly named?: 'this' | 'other' | 'none';
  /** Id that it named, if it is not this request's. */
  readonly otherId?: string;
  /** Which check a spoilt answer has failed. */
  readonly check?: SpoiltCheck;
  /** Undefined if the request got no connection. */
  readonly connection?: ConnectionFacts;
}

export interface AttemptEnded {
  readonly kind: 'attemptEnded';
  readonly attempt: AttemptId;
  readonly end: AttemptResult;
  readonly facts?: SendingFacts;
}

/** Result of passing a request on to another VM. */
export type ForwardResult =
  /** A complete answer, ready to be delivered. */
  | { readonly kind: 'answered'; readonly status: number }
  /** The VM has not run the request; its reason is undefined if it gave none. */
  | { readonly kind: 'refused'; readonly reason: string | undefined }
  /** The VM answered with an error of its own; the request may have run. */
  | { readonly kind: 'failed'; readonly reason: string }
  /** No connection was established, so nothing was sent. */
  | { readonly kind: 'unsent' }
  /** The connection broke, or the answer was unusable; the request may have run. */
  | { readonly kind: 'broken' };

export interface ForwardEnded {
  readonly kind: 'forwardEnded';
  readonly attempt: AttemptId;
  readonly end: ForwardResult;
  readonly facts?: SendingFacts;
}

/** An answer arrived for an attempt that had been cancelled. */
export interface StatementsRead {
  readonly kind: 'statementsRead';
  readonly target: TargetId;
  readonly bornAt: number;
  readonly statements: TargetStatements;
}

/** The time of a request's `wake` effect has come. */
export interface WakeDue {
  readonly kind: 'wakeDue';
  readonly request: RequestId;
}

/** A configuration was read. */
export interface TableRead {
  readonly kind: 'tableRead';
  readonly table: RoutingTable;
}

/** The list of registered targets was read. */
export interface TargetsRead {
  readonly kind: 'targetsRead';
  readonly targets: readonly TargetRegistration[];
  /** Whether more targets are registered than this process has read since its start. */
  readonly isPartial?: boolean;
}

/** The list of availability zones that operators have taken out of service was read. */
export interface ZonesOutRead {
  readonly kind: 'zonesOutRead';
  readonly zones: readonly ZoneName[];
}

/** The list of orders to move services to another version was read. */
export interface RolloutsRead {
  readonly kind: 'rolloutsRead';
  readonly orders: readonly RolloutOrder[];
}

/** A coordinator has sent guidance for a rollout order. */
export interface RolloutGuided {
  readonly kind: 'rolloutGuided';
  /** Id of the rollout order. */
  readonly order: string;
  readonly guidance: RolloutGuidance;
  /** When the guidance expires unless it is renewed; monotonic milliseconds. */
  readonly until: number;
}

/** Names of the entry VMs that are up, among them this one if the store lists it. */
export interface VmsChanged {
  readonly kind: 'vmsChanged';
  readonly vms: readonly string[];
  /**
   * Names of all entry VMs that the store lists, up or not; by default the same as `vms`.
   */
  readonly announced?: readonly string[];
  /** Whether the announced VMs have not been read, or only a part of them. */
  readonly isPartial?: boolean;
}

/** Another VM has reported the limits that targets advertised. */
export interface LimitsReported {
  readonly kind: 'limitsReported';
  readonly reports: readonly LimitReport[];
}

/** Another VM requests a permit to send to a limited target. */
export interface PermitAsked {
  readonly kind: 'permitAsked';
  readonly ask: PermitAsk;
  /** Peer address of the requesting VM. */
  readonly from: string;
}

/** Another VM returns a permit that it did not use. */
export interface PermitReturned {
  readonly kind: 'permitReturned';
  readonly target: LimitedTarget;
}

/** An issuer has granted or denied a permit. */
export interface PermitAnswered {
  readonly kind: 'permitAnswered';
  readonly answer: PermitAnswer;
}

/** Another VM has reported crashes of targets, and the requests that were running on them. */
export interface CrashesReported {
  readonly kind: 'crashesReported';
  readonly news: CrashNews;
}

/** Another VM has reported how its attempts at targets have ended. */
export interface OutcomesReported {
  readonly kind: 'outcomesReported';
  /** Peer address of the VM that counted them. */
  readonly from: string;
  readonly reports: readonly OutcomeReport[];
}

/** A graceful shutdown began. */
export interface StopAsked {
  readonly kind: 'stopAsked';
}

/** Another VM asks for a permit to send a request of an organisation. */
export interface QuotaAsked {
  readonly kind: 'quotaAsked';
  readonly ask: QuotaAsk;
  /** Where the answer is sent. */
  readonly from: string;
}

/** A VM has answered a request for a permit. */
export interface QuotaAnswered {
  readonly kind: 'quotaAnswered';
  readonly answer: QuotaAnswer;
}

/** A VM returns a permit that it has not used. */
export interface QuotaReturned {
  readonly kind: 'quotaReturned';
  readonly organisation: string;
}

/** All events that affect which target a request is sent to. */
export type BalancerEvent =
  | RequestArrived
  | CallerLeft
  | ProbeEnded
  | AttemptEnded
  | ForwardEnded
  | StatementsRead
  | WakeDue
  | TableRead
  | TargetsRead
  | ZonesOutRead
  | RolloutsRead
  | RolloutGuided
  | VmsChanged
  | LimitsReported
  | PermitAsked
  | PermitAnswered
  | PermitReturned
  | QuotaAsked
  | QuotaAnswered
  | QuotaReturned
  | CrashesReported
  | OutcomesReported
  | StopAsked;
