/** Fault of a new version. */
export interface VersionFault {
  readonly kind: 'fails' | 'slow';
  /** Share of affected answers. */
  readonly portion: number;
  /** Start of the fault, as a fraction of the rollout's duration. */
  readonly from: number;
  /** Affects only this route; all routes if left out. */
  readonly route?: string;
  /** Affects only targets with at least this many running requests. */
  readonly fromRunning?: number;
}

/** A simulated rollout. */
export interface RolloutPlan {
  readonly vms: number;
  /** Requests per second. */
  readonly rate: number;
  /** Share of the requests by route. */
  readonly routes: Readonly<Record<string, number>>;
  /** Number of targets of each version. */
  readonly targets: number;
  readonly slots: number;
  readonly workMs: number;
  readonly durationMs: number;
  /** Undefined for a good version. */
  readonly versionFault: VersionFault | undefined;
  /** Share of failed or slow answers from any target, whatever its version. */
  readonly baselineBadShare: number;
  /** Share of targets with half of their answers bad, whatever their version. */
  readonly faultyTargetShare: number;
  /** Datagram loss rate, from 0 to 1. */
  readonly loss: number;
  /** Number of coordinators that are restarted with empty state at 40 % of the duration. */
  readonly killedCoordinators: number;
}

const DEFAULT_PLAN: RolloutPlan = {
  vms: 123,
  rate: 217,
  routes: { book: 0.91, sell: 0.09 },
  targets: 90,
  slots: 4,
  workMs: 290,
  durationMs: 12_000,
  versionFault: undefined,
  baselineBadShare: 0.05,
  faultyTargetShare: 0,
  loss: 0.02,
  killedCoordinators: 0,
};

/**
 * Makes a rollout plan.
 * @param changes - Overrides of the defaults, which describe a service on a fleet of 123 VMs.
 */
export function makeRolloutPlan(changes: Partial<RolloutPlan> = {}): RolloutPlan {
  return { ...DEFAULT_PLAN, ...changes };
}

/** Simulated rollouts by name. */
export const ROLLOUT_PLANS: Readonly<Record<string, RolloutPlan>> = {
  good: makeRolloutPlan(),
  goodIll: makeRolloutPlan({ faultyTargetShare: 0.15 }),
  goodTroubled: makeRolloutPlan({ baselineBadShare: 0.25 }),
  goodKilled: makeRolloutPlan({ killedCoordinators: 2 }),
  goodSmall: makeRolloutPlan({ vms: 17, rate: 30, targets: 12 }),
  goodLarge: makeRolloutPlan({ vms: 312, rate: 357, targets: 204, slots: 2, workMs: 220 }),
  fails: makeRolloutPlan({ versionFault: { kind: 'fails', portion: 0.4, from: 0 } }),
  failsSeldom: makeRolloutPlan({ versionFault: { kind: 'fails', portion: 0.2, from: 0 } }),
  failsLater: makeRolloutPlan({ versionFault: { kind: 'fails', portion: 0.4, from: 0.5 } }),
  failsOnRoute: makeRolloutPlan({
    versionFault: { kind: 'fails', portion: 0.5, from: 0, route: 'sell' },
  }),
  failsFull: makeRolloutPlan({
    versionFault: { kind: 'fails', portion: 0.5, from: 0, fromRunning: 3 },
  }),
  slow: makeRolloutPlan({ versionFault: { kind: 'slow', portion: 1, from: 0 } }),
  slowLater: makeRolloutPlan({ versionFault: { kind: 'slow', portion: 1, from: 0.5 } }),
  slowFull: makeRolloutPlan({
    versionFault: { kind: 'slow', portion: 1, from: 0, fromRunning: 3 },
  }),
  slowSmall: makeRolloutPlan({
    vms: 17,
    rate: 30,
    targets: 12,
    versionFault: { kind: 'slow', portion: 1, from: 0 },
  }),
  failsLarge: makeRolloutPlan({
    vms: 312,
    rate: 357,
    targets: 204,
    versionFault: { kind: 'fails', portion: 0.4, from: 0 },
  }),
};
