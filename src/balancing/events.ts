import type { AttemptId, RequestId, TargetId, ZoneName } from '../core/model/index.js';
import type { LimitedTarget, LimitReport, PermitAnswer, PermitAsk } from '../limits/index.js';
import type { RolloutGuidance, RolloutOrder } from '../rollouts/index.js';
import type { LoadReading, NamedLimit, RoutingTable, TargetEntry } from './model.js';

/** A caller's request is here as a whole. */
export interface RequestArrived {
  readonly kind: 'requestArrived';
  readonly request: RequestId;
  /** Id that the caller gave it, by which it is found in the log; undefined if it gave none. */
  readonly callerRequestId: string | undefined;
  readonly host: string;
  /** Path with its query. */
  readonly path: string;
  /** Time that the caller allows, in milliseconds, counted from `arrivedAt`. */
  readonly allowedMs: number | undefined;
  /** When the request's head was read; monotonic milliseconds. */
  readonly arrivedAt: number;
}

/** The caller closed its connection before it had its answer. */
export interface CallerLeft {
  readonly kind: 'callerLeft';
  readonly request: RequestId;
}

/** How a probe ended. */
export type ProbeEnd =
  | {
      readonly kind: 'answered';
      readonly reading: LoadReading;
      readonly coldMs: number;
      readonly limit?: NamedLimit;
    }
  /** Another target has the address, or the same one has started anew. */
  | { readonly kind: 'stranger' }
  | { readonly kind: 'refused' }
  | { readonly kind: 'silent' }
  /** The connection broke, or the answer could not be read. */
  | { readonly kind: 'broken' };

export interface ProbeEnded {
  readonly kind: 'probeEnded';
  readonly target: TargetId;
  readonly bornAt: number;
  readonly end: ProbeEnd;
}

/** How a sending ended. */
export type AttemptEnd =
  /** A whole answer that belongs to the request, ready to be delivered. */
  | {
      readonly kind: 'answered';
      readonly status: number;
      readonly reading?: LoadReading;
      readonly limit?: NamedLimit;
    }
  /** The target said that it has not run the request and never will. */
  | { readonly kind: 'rejected'; readonly reading?: LoadReading; readonly limit?: NamedLimit }
  /** Another target has the address; it has not run the request. */
  | { readonly kind: 'misdirected' }
  /** No connection came about, so nothing was sent. */
  | { readonly kind: 'unsent' }
  /** The connection broke after the request was sent, before its answer was whole. */
  | { readonly kind: 'broken' }
  /** The answer is not one to this request, or not as the target made it. */
  | { readonly kind: 'spoilt' };

export interface AttemptEnded {
  readonly kind: 'attemptEnded';
  readonly attempt: AttemptId;
  readonly end: AttemptEnd;
}

/** A time that the reducer asked to be woken at has come. */
export interface WakeDue {
  readonly kind: 'wakeDue';
  readonly request: RequestId;
}

/** A later configuration was read. */
export interface TableRead {
  readonly kind: 'tableRead';
  readonly table: RoutingTable;
}

/** The registered targets that are known. */
export interface TargetsRead {
  readonly kind: 'targetsRead';
  readonly targets: readonly TargetEntry[];
  /** Whether there are more, which a process that has just started has not read yet. */
  readonly isPartial?: boolean;
}

/** Availability zones that operators have taken out, all of them. */
export interface ZonesOutRead {
  readonly kind: 'zonesOutRead';
  readonly zones: readonly ZoneName[];
}

/** Orders to move services to another version, all of them. */
export interface RolloutsRead {
  readonly kind: 'rolloutsRead';
  readonly orders: readonly RolloutOrder[];
}

/** A coordinator has told what to do about an order. */
export interface RolloutGuided {
  readonly kind: 'rolloutGuided';
  /** Id of the order. */
  readonly order: string;
  readonly guidance: RolloutGuidance;
  /** How long that holds without further word; monotonic milliseconds. */
  readonly until: number;
}

/** Names of the entry VMs that are up, this one among them. */
export interface VmsChanged {
  readonly kind: 'vmsChanged';
  readonly vms: readonly string[];
  /** Names of all that have announced themselves, up or not; the same as `vms` if left out. */
  readonly announced?: readonly string[];
}

/** Another VM told what targets said of their limits. */
export interface LimitsReported {
  readonly kind: 'limitsReported';
  readonly reports: readonly LimitReport[];
}

/** Another VM asks for a permit to send a request to a limited target. */
export interface PermitAsked {
  readonly kind: 'permitAsked';
  readonly ask: PermitAsk;
  /** Peer address of the VM that asks. */
  readonly from: string;
}

/** Another VM gives a permit back. */
export interface PermitReturned {
  readonly kind: 'permitReturned';
  readonly target: LimitedTarget;
}

/** An issuer answered. */
export interface PermitAnswered {
  readonly kind: 'permitAnswered';
  readonly answer: PermitAnswer;
}

/** A planned stop began. */
export interface StopAsked {
  readonly kind: 'stopAsked';
}

/** Everything that bears on where requests go. */
export type BalancerEvent =
  | RequestArrived
  | CallerLeft
  | ProbeEnded
  | AttemptEnded
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
  | StopAsked;
