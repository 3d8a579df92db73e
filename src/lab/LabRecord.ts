import type { RoutePlan } from './LabPlan.js';

/** What became of one request of a caller, over all its tries. */
export interface LabRecord {
  readonly route: RoutePlan;
  /** When the caller asked first; virtual milliseconds. */
  readonly askedAt: number;
  /** When it got its answer; undefined if it got none. */
  answeredAt?: number;
  /** Tries that were refused. */
  refusals: number;
  /** How often a target ran it. */
  runs: number;
  /** Time that its refused tries were held for, in milliseconds. */
  heldMs: number;
}

/** What callers got. */
export interface LabScore {
  readonly asked: number;
  /** Share of the worth that was earned. */
  readonly payoff: number;
  /** The same in the two worst stretches of two seconds. */
  readonly worstPayoff: number;
  readonly inTime: number;
  readonly late: number;
  readonly unserved: number;
  /** Refused tries for each request. */
  readonly refusals: number;
  /** Mean time that a refused try was held, in milliseconds. */
  readonly heldMs: number;
}

/** Payoff is also looked at in stretches of this length, in milliseconds. */
const STRETCH_MS = 2_000;
const WORST_STRETCHES = 2;

function getPayoff({ route, askedAt, answeredAt }: LabRecord): number {
  if (answeredAt === undefined) return 0;
  return answeredAt - askedAt <= route.objectiveMs ? route.worth : route.worth * route.lateWorth;
}

function sum(values: readonly number[]): number {
  return values.reduce((total, value) => total + value, 0);
}

function getShare(records: readonly LabRecord[]): number {
  return sum(records.map(getPayoff)) / Math.max(1, sum(records.map(({ route }) => route.worth)));
}

/**
 * Adds up what callers got.
 * @param records - Their requests.
 */
export function scoreLab(records: readonly LabRecord[]): LabScore {
  const stretches = new Map<number, LabRecord[]>();
  for (const record of records) {
    const index = Math.floor(record.askedAt / STRETCH_MS);
    stretches.set(index, [...(stretches.get(index) ?? []), record]);
  }
  const shares = [...stretches.values()].map(getShare).sort((a, b) => a - b);
  const served = records.filter(({ answeredAt }) => answeredAt !== undefined);
  const inTime = served.filter(
    ({ route, askedAt, answeredAt = Infinity }) => answeredAt - askedAt <= route.objectiveMs,
  );
  const refusals = sum(records.map((record) => record.refusals));
  return {
    asked: records.length,
    payoff: getShare(records),
    worstPayoff: sum(shares.slice(0, WORST_STRETCHES)) / WORST_STRETCHES,
    inTime: inTime.length / records.length,
    late: (served.length - inTime.length) / records.length,
    unserved: (records.length - served.length) / records.length,
    refusals: refusals / records.length,
    heldMs: sum(records.map(({ heldMs }) => heldMs)) / Math.max(1, refusals),
  };
}

/** How much the worst stretches, the whole run and the share that is served count. */
const WORST_WEIGHT = 0.4;
const WHOLE_WEIGHT = 0.4;
const SERVED_WEIGHT = 0.2;

/**
 * One figure for what callers got: mostly the worst seconds and the whole, and who was served at all.
 * @param score - What callers got.
 */
export function getWorth({ worstPayoff, payoff, unserved }: LabScore): number {
  return WORST_WEIGHT * worstPayoff + WHOLE_WEIGHT * payoff + SERVED_WEIGHT * (1 - unserved);
}
