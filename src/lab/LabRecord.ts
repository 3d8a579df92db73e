import type { RoutePlan } from './LabPlan.js';

/** Outcome of one caller request over all its tries. */
export interface LabRecord {
  readonly route: RoutePlan;
  /** Time of the first try, in virtual milliseconds. */
  readonly askedAt: number;
  /** Time of the answer, in virtual milliseconds; undefined if there was none. */
  answeredAt?: number;
  /** Number of refused tries. */
  refusals: number;
  /** Number of times that a target started to run it. */
  runs: number;
  /** Total time that refused tries waited for their refusal, in milliseconds. */
  heldMs: number;
  /** Zone of the caller; undefined if the plan has no zones. */
  readonly zone?: string;
  /** Organisation of the caller; undefined if the plan has none. */
  readonly organisation?: string;
}

/** Summary of the outcomes of all requests of a run. */
export interface LabScore {
  readonly asked: number;
  /** Earned value as a share of the value of all requests. */
  readonly payoff: number;
  /** Mean payoff of the two worst windows of two seconds. */
  readonly worstPayoff: number;
  readonly inTime: number;
  readonly late: number;
  readonly unserved: number;
  /** Refused tries per request. */
  readonly refusals: number;
  /** Mean time that a refused try waited for its refusal, in milliseconds. */
  readonly heldMs: number;
}

/** Length of the windows for the worst payoff, in milliseconds. */
const WINDOW_MS = 2_000;
const WORST_WINDOWS = 2;

function getPayoff({ route, askedAt, answeredAt }: LabRecord): number {
  if (answeredAt === undefined) return 0;
  return answeredAt - askedAt <= route.objectiveMs ? route.worth : route.worth * route.lateWorth;
}

function sum(values: readonly number[]): number {
  return values.reduce((total, value) => total + value, 0);
}

/** Returns the earned value of requests as a share of the value of all of them. */
export function getPayoffShare(records: readonly LabRecord[]): number {
  return sum(records.map(getPayoff)) / Math.max(1, sum(records.map(({ route }) => route.worth)));
}

/**
 * Computes the score of a run.
 * @param records - All requests of the run.
 */
export function scoreLab(records: readonly LabRecord[]): LabScore {
  const windows = new Map<number, LabRecord[]>();
  for (const record of records) {
    const index = Math.floor(record.askedAt / WINDOW_MS);
    windows.set(index, [...(windows.get(index) ?? []), record]);
  }
  const shares = [...windows.values()].map(getPayoffShare).sort((a, b) => a - b);
  const served = records.filter(({ answeredAt }) => answeredAt !== undefined);
  const inTime = served.filter(
    ({ route, askedAt, answeredAt = Infinity }) => answeredAt - askedAt <= route.objectiveMs,
  );
  const refusals = sum(records.map((record) => record.refusals));
  return {
    asked: records.length,
    payoff: getPayoffShare(records),
    worstPayoff: sum(shares.slice(0, WORST_WINDOWS)) / WORST_WINDOWS,
    inTime: inTime.length / records.length,
    late: (served.length - inTime.length) / records.length,
    unserved: (records.length - served.length) / records.length,
    refusals: refusals / records.length,
    heldMs: sum(records.map(({ heldMs }) => heldMs)) / Math.max(1, refusals),
  };
}

/** Weights of the worst windows, the whole run and the share of served requests. */
const WORST_WEIGHT = 0.4;
const WHOLE_WEIGHT = 0.4;
const SERVED_WEIGHT = 0.2;

/**
 * Combines a score into one number: the payoff of the worst windows, the overall payoff and, with
 * less weight, the share of served requests.
 * @param score - Score of the run.
 */
export function getOverallScore({ worstPayoff, payoff, unserved }: LabScore): number {
  return WORST_WEIGHT * worstPayoff + WHOLE_WEIGHT * payoff + SERVED_WEIGHT * (1 - unserved);
}
