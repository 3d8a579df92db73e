import type { LimitNaming } from '../lab/index.js';
import { findWorstWindows } from '../lab/index.js';
import type { CallerRecord } from './SoakCallers.js';

/** One run of a request at a target. */
export interface RunRecord {
  readonly id: string;
  readonly target: string;
  /** Version of the target. */
  readonly version?: string;
  readonly at: number;
}

/** A time during which a target must get nothing. */
export interface Ban {
  readonly target: string;
  readonly from: number;
  readonly until: number;
  readonly reason: string;
}

/** What was seen from outside the gateways. */
export interface SoakObservations {
  readonly callers: readonly CallerRecord[];
  readonly runs: readonly RunRecord[];
  readonly bans: readonly Ban[];
  /** Limits that targets named, in order. */
  readonly namings?: readonly LimitNaming[];
  /** When a gateway, by its port, is excused from limits. */
  readonly excused?: readonly {
    readonly port: number;
    readonly from: number;
    readonly until: number;
  }[];
  /** Broken promises that were noticed at once. */
  readonly noticed: readonly string[];
  /** From when on no fault was in force. */
  readonly calmFrom: number;
}

/** Statuses that say that a request has not run and never will. */
const REFUSALS: ReadonlySet<number> = new Set([429, 503]);

/** Share of requests that has to be served once no fault is in force. */
const CALM_SHARE = 0.9;

function countRuns(runs: readonly RunRecord[]): Map<string, number> {
  const counts = new Map<string, number>();
  for (const { id } of runs) counts.set(id, (counts.get(id) ?? 0) + 1);
  return counts;
}

function checkCaller(record: CallerRecord, runs: number): string[] {
  const { id, isIdempotent, status = 0, isSound } = record;
  const broken: string[] = [];
  if (!isIdempotent && runs > 1) broken.push(`${id} may run once and ran ${runs} times`);
  if (REFUSALS.has(status) && runs > 0) broken.push(`${id} was refused with ${status} and ran`);
  if (status === 200 && isSound !== true) {
    broken.push(`${id} got an answer that is not its own and whole`);
  }
  if (record.isBehindClose === true && runs > 0) {
    broken.push(`${id} ran behind an answer that closed its connection`);
  }
  if (status === 200 && runs === 0) broken.push(`${id} got an answer and never ran`);
  return broken;
}

/** Requests that targets got although they had named a limit to the gateways that sent them. */
function checkLimits({ callers, runs, namings = [], excused = [] }: SoakObservations): string[] {
  const byId = new Map(callers.map((record) => [record.id, record]));
  const arrivals = runs.flatMap(({ id, target, at }) => {
    const record = byId.get(id);
    return record === undefined ? [] : [{ target, at, vm: String(record.port), record }];
  });
  const told = arrivals.flatMap(({ target, at, vm, record: { endedAt, status } }) => {
    const named = namings.filter((each) => each.target === target && each.at <= at).at(-1);
    const isTold = named?.perSecond !== undefined && endedAt !== undefined && status === 200;
    return isTold ? [{ target, vm, at: endedAt }] : [];
  });
  const excuses = excused.map(({ port, from, until }) => ({ vm: String(port), from, until }));
  return findWorstWindows({ arrivals, namings, told, excused: excuses })
    .filter(({ got, allowed }) => got > allowed)
    .map(({ target, got, allowed }) => {
      const most = allowed.toFixed(1);
      return `${target} named a limit and got ${got} requests in 4 s, allowed are ${most}`;
    });
}

/**
 * Holds what callers and targets saw against the promises.
 * @param seen - What was seen.
 * @returns A sentence for each broken promise; none if all are kept.
 */
export function checkSoak(seen: SoakObservations): string[] {
  const counts = countRuns(seen.runs);
  const broken = [...seen.noticed];
  for (const record of seen.callers) {
    broken.push(...checkCaller(record, counts.get(record.id) ?? 0));
  }
  for (const { target, from, until, reason } of seen.bans) {
    const late = seen.runs.find((run) => run.target === target && run.at > from && run.at < until);
    if (late !== undefined) {
      broken.push(`${target} got ${late.id} ${late.at - from} ms too late: ${reason}`);
    }
  }
  broken.push(...checkLimits(seen));
  const calm = seen.callers.filter(({ sentAt }) => sentAt >= seen.calmFrom);
  const served = calm.filter(({ status }) => status === 200).length;
  if (calm.length > 0 && served < CALM_SHARE * calm.length) {
    broken.push(`only ${served} of ${calm.length} requests were served after the last fault`);
  }
  return broken;
}
