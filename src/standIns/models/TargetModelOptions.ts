/** Behaviour of a target without faults. Times are in milliseconds. */
export interface TargetModelOptions {
  readonly id: string;
  /** Requests and probes that it runs at once. */
  readonly slots: number;
  /** Service time added to a request on a new connection. */
  readonly connectionCostMs: number;
  /** Service time of a probe. */
  readonly probeCostMs: number;
  /** Mean service time of requests that don't specify one. */
  readonly meanServiceMs: number;
  /** Standard deviation of the logarithm of those service times. */
  readonly sigma: number;
  /** Length of the queue; when it is full, further requests are answered with 503. */
  readonly maxWaiting: number;
  /** While cold, the capacity doubles after this many completed requests per unit of capacity. */
  readonly coldRounds: number;
  /** Multiplier of the service time while cold. */
  readonly coldFactor: number;
  /** Time from a crash until it accepts connections again. */
  readonly restartMs: number;
  /** Time from the start of a request that crashes the target until the crash. */
  readonly crashMs: number;
  /** Time for which a reported load is reused before it is updated. */
  readonly reportLagMs: number;
  /** Whether it starts cold, like a process that has just started; otherwise it starts warm. */
  readonly startsCold: boolean;
}

/** Defaults: a warm target with two slots. */
export const DEFAULT_TARGET_OPTIONS: TargetModelOptions = {
  id: 'target',
  slots: 2,
  connectionCostMs: 1,
  probeCostMs: 1,
  meanServiceMs: 20,
  sigma: 0.6,
  maxWaiting: 100,
  coldRounds: 1,
  coldFactor: 1.5,
  restartMs: 300,
  crashMs: 5,
  reportLagMs: 500,
  startsCold: false,
};

/** Faults injected into a target; tests modify them in place. */
export interface TargetFaults {
  /** Multiplier of the service time; 1 means no fault. */
  slowFactor: number;
  /** Reports that it is draining and answers requests other than probes with 503. */
  draining: boolean;
  /** Fails requests with 500 almost immediately after they start. */
  failsFast: boolean;
  /** Answers all requests and probes with 503 almost immediately, without running them. */
  sheds: boolean;
  /** Load to report instead of the actual one, between 0 and 1. */
  misleadingLoad?: number;
  /** Closes the connection after the response head, before the body is complete. */
  cutsAnswers: boolean;
  /** Fingerprints of the requests that crash the target. */
  readonly crashesOn: Set<string>;
}

/** A request or probe as received by a target. */
export interface TargetRequest {
  /** Request id assigned outside the fleet; the same whichever entry VM sends the request. */
  readonly uid: string;
  /** Process that sent the request. */
  readonly sender: string;
  readonly fingerprint: string;
  readonly key?: string;
  readonly isProbe: boolean;
  /** Whether it is the first request on its connection. */
  readonly newConnection: boolean;
  /** Service time in milliseconds; drawn at random by the target if absent. */
  readonly serviceMs?: number;
  /** Time until the deadline, in milliseconds; the target then abandons the request. */
  readonly remainingMs?: number;
}

/** State that a target reports in its response headers. */
export interface TargetReport {
  /** Identifier of the current run; changes with each restart. */
  readonly bootId: string;
  /** Share of the slots in use, between 0 and 1. */
  readonly load: number;
  readonly draining: boolean;
}

/**
 * Receives the outcome of a request. `ended` is called exactly once, unless the request is
 * cancelled or its deadline passes.
 */
export interface TargetListener {
  answered(status: number, report: TargetReport): void;
  ended(end: 'complete' | 'reset' | 'cut' | 'notSent'): void;
}

/** Start of a request or probe, with the state of the target at that time. */
export interface TargetStart {
  /** Clock time of the start, in milliseconds. */
  readonly at: number;
  /** Id of the target. */
  readonly target: string;
  readonly request: TargetRequest;
  /** Number of running requests and probes, including this one. */
  readonly running: number;
  /** Number of running and waiting requests and probes. */
  readonly held: number;
  /** Capacity of the target at that time. */
  readonly bears: number;
  readonly cold: boolean;
}
