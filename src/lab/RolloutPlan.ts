/** How a version is bad. */
export interface Badness {
  readonly kind: 'fails' | 'slow';
  /** Part of the answers that it concerns. */
  readonly portion: number;
  /** Part of the ordered time after which it begins. */
  readonly from: number;
  /** Only requests of this route; all if left out. */
  readonly route?: string;
  /** Only while a target runs at least so many requests. */
  readonly fromRunning?: number;
}

/** A rollout that the lab plays. */
export interface RolloutPlan {
  readonly vms: number;
  /** Requests a second. */
  readonly rate: number;
  /** Routes with their parts of the requests. */
  readonly routes: Readonly<Record<string, number>>;
  /** Targets of each version. */
  readonly targets: number;
  readonly slots: number;
  readonly workMs: number;
  readonly durationMs: number;
  /** Undefined for a good version. */
  readonly badness: Badness | undefined;
  /** Part of the answers of any target that fail or are slow. */
  readonly usualBad: number;
  /** Part of the targets that fail half of their answers, whatever their version. */
  readonly illTargets: number;
  /** Part of the datagrams that are lost. */
  readonly loss: number;
  /** How many of the coordinators' VMs are killed halfway through the trial. */
  readonly killedCoordinators: number;
}

const BASE: RolloutPlan = {
  vms: 123,
  rate: 217,
  routes: { book: 0.91, sell: 0.09 },
  targets: 90,
  slots: 4,
  workMs: 290,
  durationMs: 12_000,
  badness: undefined,
  usualBad: 0.05,
  illTargets: 0,
  loss: 0.02,
  killedCoordinators: 0,
};

/**
 * Makes a plan.
 * @param changes - What differs from a service of a fleet of 123 VMs.
 */
export function makeRolloutPlan(changes: Partial<RolloutPlan> = {}): RolloutPlan {
  return { ...BASE, ...changes };
}

/** Rollouts by name. */
export const ROLLOUT_PLANS: Readonly<Record<string, RolloutPlan>> = {
  good: makeRolloutPlan(),
  goodIll: makeRolloutPlan({ illTargets: 0.15 }),
  goodTroubled: makeRolloutPlan({ usualBad: 0.25 }),
  goodKilled: makeRolloutPlan({ killedCoordinators: 2 }),
  goodSmall: makeRolloutPlan({ vms: 17, rate: 30, targets: 12 }),
  goodLarge: makeRolloutPlan({ vms: 312, rate: 357, targets: 204, slots: 2, workMs: 220 }),
  fails: makeRolloutPlan({ badness: { kind: 'fails', portion: 0.4, from: 0 } }),
  failsSeldom: makeRolloutPlan({ badness: { kind: 'fails', portion: 0.2, from: 0 } }),
  failsLater: makeRolloutPlan({ badness: { kind: 'fails', portion: 0.4, from: 0.5 } }),
  failsOnRoute: makeRolloutPlan({
    badness: { kind: 'fails', portion: 0.5, from: 0, route: 'sell' },
  }),
  failsFull: makeRolloutPlan({
    badness: { kind: 'fails', portion: 0.5, from: 0, fromRunning: 3 },
  }),
  slow: makeRolloutPlan({ badness: { kind: 'slow', portion: 1, from: 0 } }),
  slowLater: makeRolloutPlan({ badness: { kind: 'slow', portion: 1, from: 0.5 } }),
  slowFull: makeRolloutPlan({ badness: { kind: 'slow', portion: 1, from: 0, fromRunning: 3 } }),
  slowSmall: makeRolloutPlan({
    vms: 17,
    rate: 30,
    targets: 12,
    badness: { kind: 'slow', portion: 1, from: 0 },
  }),
  failsLarge: makeRolloutPlan({
    vms: 312,
    rate: 357,
    targets: 204,
    badness: { kind: 'fails', portion: 0.4, from: 0 },
  }),
};
