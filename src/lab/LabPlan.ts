import type { QuotaBound } from '../quotas/index.js';

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
  /** Priority in the routing table, 0 the most urgent; the route's index if left out. */
  readonly priority?: number;
  /** Requests with a multiple of the drawn work; none if left out. */
  readonly longRequests?: LongRequests;
}

/** Share of a route's requests that take a multiple of the usual work. */
export interface LongRequests {
  readonly share: number;
  readonly factor: number;
}

/** A period with a higher request rate. */
export interface Surge {
  readonly fromMs: number;
  readonly untilMs: number;
  /** Multiplier of the request rate. */
  readonly factor: number;
  /** Name of the only route that it applies to; all routes if left out. */
  readonly route?: string;
}

/** Demand of a zone as a sine wave: rate x (1 + swing x sin(2 pi x (time / period + phase))). */
export interface DemandWave {
  /** Amplitude as a share of the mean rate, from 0 to 1. */
  readonly swing: number;
  readonly periodMs: number;
  /** Phase of each zone as a share of the period. */
  readonly phases: readonly number[];
}

/**
 * Availability zones. VMs and the targets of each service belong to them in turn. Each zone gets the
 * same mean demand, and its callers send to VMs of their own zone.
 */
export interface ZonesPlan {
  readonly count: number;
  /** One-way network delay between zones; `oneWayDelayMs` is the delay within a zone. */
  readonly betweenDelayMs: number;
  /** Constant demand if left out. */
  readonly wave?: DemandWave;
}

/** A period in which one organisation sends a multiple of its usual rate. */
export interface OrganisationSurge {
  /** Zero-based rank of the organisation by size. */
  readonly rank: number;
  readonly factor: number;
  readonly fromMs: number;
  readonly untilMs: number;
}

/** Organisations that share the requests of all routes, with sizes by Zipf's law. */
export interface OrganisationsPlan {
  readonly count: number;
  /** Exponent of Zipf's law. */
  readonly exponent: number;
  /** Rate limit as a multiple of the usual rate; no limits if left out. */
  readonly limitFactor?: number;
  /** Burst as a time at the usual rate, in seconds, and its lower bound in requests. */
  readonly burstSeconds: number;
  readonly minBurst: number;
  readonly surges: readonly OrganisationSurge[];
  /** How far the limits may be exceeded. */
  readonly bound: QuotaBound;
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
  /** A single zone if left out. */
  readonly zones?: ZonesPlan;
  /** Callers without API keys if left out. */
  readonly organisations?: OrganisationsPlan;
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
