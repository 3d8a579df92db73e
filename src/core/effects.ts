import type { CoreEvent, LocalOutcome } from './events.js';
import type {
  AttemptId,
  CallId,
  EntryVmId,
  PeerMessage,
  RequestId,
  StoredAnswer,
  StoreOp,
  TargetId,
} from './model/index.js';

/** Destination of an attempt. */
export type Destination =
  | { readonly kind: 'target'; readonly target: TargetId; readonly address: string }
  | { readonly kind: 'peer'; readonly peer: EntryVmId; readonly peerAddress: string };

/** Problem code of an answer that masticlink makes itself; `docs/API.md` lists them for callers. */
export type ProblemCode =
  | 'unknown-service'
  | 'no-capacity'
  | 'queue-too-long'
  | 'deadline-passed'
  | 'not-fresh'
  | 'leaving'
  | 'target-failed'
  | 'crash-suspect'
  | 'key-in-progress'
  | 'key-mismatch'
  | 'key-store-unavailable'
  | 'answer-not-kept';

/** An answer that masticlink makes itself, sent as RFC 9457 problem JSON. */
export interface LocalAnswer {
  readonly status: number;
  readonly outcome: LocalOutcome;
  readonly code: ProblemCode;
  readonly detail: string;
  /** Time after which the caller may retry, in milliseconds. */
  readonly retryAfterMs?: number;
}

/** An action for the process. The adapters carry effects out in order and decide nothing. */
export type Effect =
  /** Sends a request; exactly one `attemptEnded` event follows. */
  | {
      readonly kind: 'sendAttempt';
      readonly attempt: AttemptId;
      readonly request: RequestId;
      readonly to: Destination;
      /** Monotonic milliseconds of this process. */
      readonly deadlineAt: number;
    }
  /** Cancels an attempt; its `attemptEnded` event still follows. */
  | { readonly kind: 'cancelAttempt'; readonly attempt: AttemptId }
  /** Streams this attempt's answer to the caller; at most once per request. */
  | { readonly kind: 'relayAnswer'; readonly request: RequestId; readonly attempt: AttemptId }
  | { readonly kind: 'answerRequest'; readonly request: RequestId; readonly answer: LocalAnswer }
  /** Answers with the answer that was stored under the request's key. */
  | { readonly kind: 'replayAnswer'; readonly request: RequestId; readonly answer: StoredAnswer }
  /** Closes the caller's connection, since an answer was sent in part and can't be completed. */
  | { readonly kind: 'abortRequest'; readonly request: RequestId }
  | {
      readonly kind: 'probe';
      readonly target: TargetId;
      readonly address: string;
      readonly path: string;
      readonly timeoutMs: number;
    }
  | { readonly kind: 'callStore'; readonly call: CallId; readonly op: StoreOp }
  | {
      readonly kind: 'sendPeer';
      readonly peer: EntryVmId;
      readonly peerAddress: string;
      readonly message: PeerMessage;
    }
  /** Closes the idle connections to a target that this VM no longer drives. */
  | { readonly kind: 'closeConnections'; readonly target: TargetId }
  | {
      readonly kind: 'log';
      readonly level: LogLevel;
      readonly part: LogPart;
      readonly text: string;
    }
  | {
      readonly kind: 'count';
      readonly metric: MetricName;
      readonly labels: Readonly<Record<string, string>>;
      readonly by: number;
    }
  /** All work has ended and all partitions are released; the process may exit. */
  | { readonly kind: 'exit' }
  /** An event that the core handles itself in the same step, before the next outside event. */
  | { readonly kind: 'raise'; readonly event: CoreEvent };

export type LogLevel = 'debug' | 'info' | 'warn' | 'error';

/** Prefix of a log line: the part of the process that logs it. */
export type LogPart = 'fleet' | 'config' | 'requests' | 'targets' | 'keys' | 'store' | 'entry';

/** Counters that the core increments; the adapters add gauges and histograms. */
export type MetricName =
  | 'masticlink_requests_total'
  | 'masticlink_attempts_total'
  | 'masticlink_retries_total'
  | 'masticlink_hedges_total'
  | 'masticlink_probes_total'
  | 'masticlink_store_calls_total'
  | 'masticlink_target_cold_total'
  | 'masticlink_crash_suspects_total';
