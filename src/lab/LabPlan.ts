/** Simulated targets of one service. The defaults are assumptions, not taken from a real service. */
export interface TargetsPlan {
  readonly service: string;
  readonly count: number;
  readonly slots: number;
  /** Requests that a target queues before it rejects further ones. */
  readonly queue: number;
  /** Share of busy slots above which new work is slowed down, and the slowdown factor. */
  readonly kneeShare: number;
  readonly kneeSlowdown: number;
  /** Share of slow spells, the slowdown factor during one, and the length of a spell in ms. */
  readonly spellShare: number;
  readonly spellSlowdown: number;
  readonly spellMs: number;
}

/** A route and the requests that callers send to it. */
export interface RoutePlan {
  readonly name: string;
  readonly service: string;
  readonly perSecond: number;
  /** Mean work on an idle target, in milliseconds. */
  readonly workMs: number;
  /** Standard deviation of the logarithm of the work. */
  readonly workSigma: number;
  readonly objectiveMs: number;
  /** Time after which callers give up, in milliseconds. */
  readonly allowedMs: number;
  readonly timeoutMs: number;
  readonly isIdempotent: boolean;
  /** Value of an answer within the objective, and the share of it that a late answer keeps. */
  readonly worth: number;
  readonly lateWorth: number;
  /** Maximum number of retries by a caller. */
  readonly retries: number;
}

/** A period with a higher request rate. */
export interface Surge {
  readonly fromMs: number;
  readonly untilMs: number;
  /** Multiplier of the request rate. */
  readonly factor: number;
}

/** A period in which targets reject a share of their requests without running them. */
export interface RejectionPeriod {
  readonly service: string;
  /** Number of targets that do so; all if left out. */
  readonly count?: number;
  /** Pause that each rejection asks for, in milliseconds; none if left out. */
  readonly pauseMs?: number;
  readonly fromMs: number;
  readonly untilMs: number;
  readonly share: number;
}

/** The first targets of a service state in all answers that they are shutting down. */
export interface DrainAnnouncement {
  readonly service: string;
  readonly count: number;
  readonly fromMs: number;
}

/** A period in which the first targets of a service advertise a rate limit. */
export interface LimitPeriod {
  readonly service: string;
  /** Number of targets that advertise the limit. */
  readonly count: number;
  readonly fromMs: number;
  readonly untilMs: number;
  /** Requests per second that each of them accepts from all VMs together. */
  readonly perSecond: number;
  /** Share of their answers that carry the limit; all if left out. */
  readonly share?: number;
}

/** A period in which a VM is down; it restarts with empty state. */
export interface VmOutage {
  /** Zero-based index of the VM. */
  readonly vm: number;
  readonly fromMs: number;
  readonly untilMs: number;
}

/** A simulated deployment with its load and its faults. */
export interface LabPlan {
  readonly vms: number;
  readonly targets: readonly TargetsPlan[];
  readonly routes: readonly RoutePlan[];
  readonly surges: readonly Surge[];
  readonly rejecting: readonly RejectionPeriod[];
  readonly limiting: readonly LimitPeriod[];
  readonly draining: readonly DrainAnnouncement[];
  readonly down: readonly VmOutage[];
  readonly untilMs: number;
  /** One-way network delay between VMs and from a VM to a target, in milliseconds. */
  readonly oneWayDelayMs: number;
  /** Maximum probes per second to one target from all VMs together. */
  readonly probesPerSecond: number;
  /** Whether VMs start with the targets' slowdown curves; otherwise they learn them. */
  readonly isSlowdownPreset: boolean;
}

/**
 * Makes targets that slow down above 80 % busy slots, and in a quarter of their 300 ms spells.
 * @param service - Name of the service.
 * @param changes - Overrides of the defaults.
 */
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

/**
 * Makes a route of look-ups with an objective of 2.5 times the mean work.
 * @param service - Name of the service, also used as the name of the route.
 * @param changes - Overrides of the defaults.
 */
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
 * Makes a deployment of 17 VMs with one service and a surge slightly above the targets' capacity.
 * @param changes - Overrides of the defaults.
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
    draining: [],
    down: [],
    untilMs: 16_000,
    oneWayDelayMs: 0.7,
    probesPerSecond: 60,
    isSlowdownPreset: false,
    ...changes,
  };
}
