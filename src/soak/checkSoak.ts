import type { LimitChange } from '../lab/index.js';
import { findBrokenPauses, findLateArrivals, findWorstWindows } from '../lab/index.js';
import type { OrganisationObservations } from './checkOrganisations.js';
import { checkOrganisations } from './checkOrganisations.js';
import type { ArrivalRecord } from './retryWindows.js';
import { findWorstRetryWindow } from './retryWindows.js';
import type { CallerRecord } from './SoakCallers.js';
import { RETRY_LIMIT } from './SoakGateway.js';

/** One execution of a request by a target. */
export interface RunRecord {
  readonly id: string;
  readonly target: string;
  /** Version of the target. */
  readonly version?: string;
  /** IP address of the gateway that sent it; that of the caller's request may be another one. */
  readonly source?: string;
  readonly at: number;
}

/** A request that a target rejected and asked for a pause. */
export interface PauseRecord {
  readonly id: string;
  readonly target: string;
  /** IP address of the gateway that sent it. */
  readonly source?: string;
  readonly at: number;
  /** Pause in milliseconds; undefined if the target named no valid time. */
  readonly pauseMs: number | undefined;
}

/** A target that crashed. */
export interface CrashRecord {
  readonly target: string;
  /** Id of the request that crashed it; undefined if it crashed for another reason. */
  readonly requestId: string | undefined;
  readonly at: number;
}

/** A period in which a target must not receive requests. */
export interface Ban {
  readonly target: string;
  readonly from: number;
  readonly until: number;
  readonly reason: string;
}

/** Observations of callers and targets during a soak. */
export interface SoakObservations {
  readonly callers: readonly CallerRecord[];
  readonly runs: readonly RunRecord[];
  /** Requests that reached a target, also if it rejected them. */
  readonly arrivals?: readonly ArrivalRecord[];
  readonly bans: readonly Ban[];
  /** Limits that targets advertised, in order of time. */
  readonly namings?: readonly LimitChange[];
  readonly pauses?: readonly PauseRecord[];
  /** When the answers of a target began to state that it is shutting down. */
  readonly drains?: readonly TargetDrain[];
  /** Periods in which the link to a target was disturbed, so that its answers may be lost. */
  readonly linkFaults?: readonly {
    readonly target: string;
    readonly from: number;
    readonly until: number;
  }[];
  /** Periods in which the gateway on a port need not enforce limits. */
  readonly excused?: readonly {
    readonly port: number;
    /** IP address that the gateway's connections come from. */
    readonly source?: string;
    readonly from: number;
    readonly until: number;
  }[];
  /** Set if callers need API keys. */
  readonly organisations?: OrganisationObservations;
  /** Violations that faults recorded while they ran. */
  readonly noticed: readonly string[];
  /** Time from which no fault was active. */
  readonly calmFrom: number;
}

/** Period in which the answers of a target state that it is shutting down. */
export interface TargetDrain {
  readonly target: string;
  readonly at: number;
  /** When the target started again under its id; undefined if it did not. */
  until?: number;
}

/** Statuses which guarantee that the request was not executed and will not be. */
const REFUSALS: ReadonlySet<number> = new Set([408, 421, 429, 503]);

/** Minimum share of requests that must be served while no fault is active. */
const MIN_SERVED_SHARE = 0.9;

function countRuns(runs: readonly RunRecord[]): Map<string, number> {
  const counts = new Map<string, number>();
  for (const { id } of runs) counts.set(id, (counts.get(id) ?? 0) + 1);
  return counts;
}

/** Requests for which a promise was broken. */
export interface BrokenPromises {
  /** Those that were answered with a status which guarantees that they do not run, but ran. */
  readonly refused: readonly CallerRecord[];
  /** Those that ran more than once. */
  readonly twice: readonly CallerRecord[];
}

/**
 * Compares what callers were told with what targets ran at any time.
 * @param callers - Requests that may not run twice.
 * @param runs - Their executions.
 */
export function findBrokenPromises(
  callers: readonly CallerRecord[],
  runs: readonly RunRecord[],
): BrokenPromises {
  const counts = countRuns(runs);
  return {
    refused: callers.filter(({ id, status = 0 }) => REFUSALS.has(status) && counts.has(id)),
    twice: callers.filter(({ id }) => (counts.get(id) ?? 0) > 1),
  };
}

function checkRequest(record: CallerRecord, runs: number): string[] {
  const { id, isIdempotent, status = 0, isSound, received } = record;
  const broken: string[] = [];
  if (!isIdempotent && runs > 1) broken.push(`${id} must not run twice but ran ${runs} times`);
  if (REFUSALS.has(status) && runs > 0) broken.push(`${id} was refused with ${status} but ran`);
  if (status === 200 && isSound !== true) {
    const what = received === undefined ? '' : ` (${received})`;
    broken.push(`${id} got an answer that is incomplete, unsigned or of another request${what}`);
  }
  if (record.isBehindClose === true && runs > 0) {
    broken.push(`${id} was executed although an earlier answer closed its connection`);
  }
  if (status === 200 && runs === 0) broken.push(`${id} was answered with 200 but never executed`);
  return broken;
}

/** Returns a message for each target that received more requests than its advertised limit allows. */
function checkLimits({ callers, runs, namings = [], excused = [] }: SoakObservations): string[] {
  const byId = new Map(callers.map((record) => [record.id, record]));
  const arrivals = runs.flatMap(({ id, target, at, source }) => {
    const record = byId.get(id);
    return record === undefined ? [] : [{ target, at, vm: source ?? String(record.port), record }];
  });
  const told = arrivals.flatMap(({ target, at, vm, record: { endedAt, status } }) => {
    const named = namings.filter((each) => each.target === target && each.at <= at).at(-1);
    const isTold = named?.perSecond !== undefined && endedAt !== undefined && status === 200;
    return isTold ? [{ target, vm, at: endedAt }] : [];
  });
  const excuses = excused.map(({ port, source, from, until }) => ({
    vm: source ?? String(port),
    from,
    until,
  }));
  return findWorstWindows({
    arrivals,
    limitChanges: namings,
    forwardedLimits: told,
    excused: excuses,
  })
    .filter(({ got, allowed }) => got > allowed)
    .map(({ target, got, allowed }) => {
      const most = allowed.toFixed(1);
      return `${target} advertised a limit and got ${got} requests in 4 s, allowed are ${most}`;
    });
}

/** Returns a message if the gateways together retried more often than their limit allows. */
function checkRetries({ callers, arrivals = [] }: SoakObservations): string[] {
  const { retries, allowed, requests } = findWorstRetryWindow(callers, arrivals, RETRY_LIMIT);
  if (retries <= allowed) return [];
  const seconds = RETRY_LIMIT.windowMs / 1_000;
  return [`${retries} retries in ${seconds} s for ${requests} requests, allowed are ${allowed}`];
}

/** Time that an answer may take from a target to its gateway on an undisturbed link, in ms. */
const MAX_TRANSIT_MS = 500;

/** Returns a message for each target whose statement a gateway that received it did not act on. */
function checkStatements({
  callers,
  runs,
  pauses = [],
  drains = [],
  linkFaults = [],
  excused = [],
}: SoakObservations): string[] {
  const byId = new Map(callers.map((record) => [record.id, record]));
  const arrivals = [...runs, ...pauses].flatMap(({ id, target, at, source }) => {
    const record = byId.get(id);
    return record === undefined ? [] : [{ target, at, vm: source ?? String(record.port), record }];
  });
  const received = pauses.flatMap(({ id, target, at, pauseMs, source }) => {
    const record = byId.get(id);
    const isLost = linkFaults.some(
      (each) =>
        each.target === target &&
        each.from <= at + MAX_TRANSIT_MS &&
        each.until >= at - MAX_TRANSIT_MS,
    );
    if (record === undefined || pauseMs === undefined || isLost) return [];
    return [{ target, vm: source ?? String(record.port), at, pauseMs }];
  });
  const isAnnounced = ({ target, at }: { readonly target: string; readonly at: number }): boolean =>
    drains.some(
      ({ until = Infinity, ...drain }) => drain.target === target && drain.at <= at && at <= until,
    );
  const drainsReceived = arrivals.flatMap(({ target, at, vm, record: { endedAt, status } }) => {
    const isReceived = isAnnounced({ target, at }) && endedAt !== undefined && status === 200;
    return isReceived ? [{ target, vm, at: endedAt }] : [];
  });
  const excuses = excused.map(({ port, source, from, until }) => ({
    vm: source ?? String(port),
    from,
    until,
  }));
  const stated = { arrivals, pauses: received, drainsReceived, excused: excuses };
  const duringDrains = { ...stated, arrivals: arrivals.filter(isAnnounced) };
  return [...findBrokenPauses(stated), ...findLateArrivals(duringDrains)];
}

/**
 * Checks the observations of callers and targets against the guarantees of the gateways.
 * @param seen - The observations.
 * @returns A message for each violation; empty if there is none.
 */
export function checkSoak(seen: SoakObservations): string[] {
  const counts = countRuns(seen.runs);
  const broken = [...seen.noticed];
  for (const record of seen.callers) {
    broken.push(...checkRequest(record, counts.get(record.id) ?? 0));
  }
  for (const { target, from, until, reason } of seen.bans) {
    const late = seen.runs.find((run) => run.target === target && run.at > from && run.at < until);
    if (late !== undefined) {
      broken.push(
        `${target} received ${late.id} ${late.at - from} ms after it had to be excluded: ${reason}`,
      );
    }
  }
  broken.push(...checkRetries(seen), ...checkLimits(seen), ...checkStatements(seen));
  if (seen.organisations !== undefined) {
    broken.push(...checkOrganisations(seen.organisations, seen));
  }
  const calm = seen.callers.filter(
    ({ sentAt, mayBeRefused }) => sentAt >= seen.calmFrom && mayBeRefused !== true,
  );
  const served = calm.filter(({ status }) => status === 200).length;
  if (calm.length > 0 && served < MIN_SERVED_SHARE * calm.length) {
    broken.push(`only ${served} of ${calm.length} requests were served after the last fault`);
  }
  return broken;
}
