/** How the targets of one service are. All defaults are a guess to start from, not a measurement. */
export interface TargetsPlan {
  readonly service: string;
  readonly count: number;
  readonly slots: number;
  /** Requests that wait at a target before it rejects more. */
  readonly queue: number;
  /** Part of the slots beyond which work that starts takes longer, and how much longer. */
  readonly kneeShare: number;
  readonly kneeSlowdown: number;
  /** Part of the time that a target is slow, how much slower, and how long a spell lasts, in ms. */
  readonly spellShare: number;
  readonly spellSlowdown: number;
  readonly spellMs: number;
}

/** Requests of one kind. */
export interface RoutePlan {
  readonly name: string;
  readonly service: string;
  readonly perSecond: number;
  /** Mean work on an idle target, in milliseconds. */
  readonly workMs: number;
  /** Standard deviation of its logarithm. */
  readonly workSigma: number;
  readonly objectiveMs: number;
  /** Time that callers allow, in milliseconds. */
  readonly allowedMs: number;
  readonly timeoutMs: number;
  readonly isIdempotent: boolean;
  /** What an answer is worth in time, and late. */
  readonly worth: number;
  readonly lateWorth: number;
  /** How often a caller comes back. */
  readonly retries: number;
}

/** A stretch of time in which more callers come. */
export interface Surge {
  readonly fromMs: number;
  readonly untilMs: number;
  /** How many times as many. */
  readonly factor: number;
}

/** A stretch of time in which targets reject a part of what they get, unrun. */
export interface Rejecting {
  readonly service: string;
  readonly fromMs: number;
  readonly untilMs: number;
  readonly share: number;
}

/** A stretch of time in which the first targets of a service name a limit. */
export interface Limiting {
  readonly service: string;
  /** How many of its targets do. */
  readonly count: number;
  readonly fromMs: number;
  readonly untilMs: number;
  /** Requests a second that each takes from all VMs together. */
  readonly perSecond: number;
  /** Part of their answers that name it. */
  readonly share?: number;
}

/** A stretch of time in which a VM is down; it comes back knowing nothing. */
export interface VmDown {
  /** Its number, from 0. */
  readonly vm: number;
  readonly fromMs: number;
  readonly untilMs: number;
}

/** A deployment, its load and its troubles. */
export interface LabPlan {
  readonly vms: number;
  readonly targets: readonly TargetsPlan[];
  readonly routes: readonly RoutePlan[];
  readonly surges: readonly Surge[];
  readonly rejecting: readonly Rejecting[];
  readonly limiting: readonly Limiting[];
  readonly down: readonly VmDown[];
  readonly untilMs: number;
  /** Time from a VM to a target, one way, in milliseconds. */
  readonly wayMs: number;
  /** Probes a second that one target may get from all VMs together. */
  readonly probesPerSecond: number;
  /** Whether VMs are told beforehand how their targets slow down; else they learn it. */
  readonly isTold: boolean;
}

/** Targets that slow down beyond 0.8 of their slots, and by spells of 300 ms, a quarter of the time. */
export function makeTargets(service: string, changes: Partial<TargetsPlan> = {}): TargetsPlan {
  return {
    service,
    count: 9,
    slots: 6,
    queue: 12,
    kneeShare: 0.8,
    kneeSlowdown: 1.7,
    spellShare: 0.25,
    spellSlowdown: 4,
    spellMs: 300,
    ...changes,
  };
}

/** Look-ups that are to be answered within 2.5 times their work. */
export function makeRoute(service: string, changes: Partial<RoutePlan> = {}): RoutePlan {
  return {
    name: service,
    service,
    perSecond: 140,
    workMs: 120,
    workSigma: 0.3,
    objectiveMs: 300,
    allowedMs: 2_500,
    timeoutMs: 1_200,
    isIdempotent: true,
    worth: 1,
    lateWorth: 0.1,
    retries: 2,
    ...changes,
  };
}

/**
 * A deployment of 17 VMs with one service, and a surge that its targets just can't bear.
 * @param changes - What is to be otherwise.
 * @example
 * const plan = makePlan({ surges: [] });
 */
export function makePlan(changes: Partial<LabPlan> = {}): LabPlan {
  return {
    vms: 17,
    targets: [makeTargets('lookup')],
    routes: [makeRoute('lookup')],
    surges: [{ fromMs: 4_000, untilMs: 10_000, factor: 1.6 }],
    rejecting: [],
    limiting: [],
    down: [],
    untilMs: 16_000,
    wayMs: 0.7,
    probesPerSecond: 60,
    isTold: false,
    ...changes,
  };
}
