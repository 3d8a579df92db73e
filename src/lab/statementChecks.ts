import type { LimitArrival, LimitObservations } from './limitWindows.js';

/** A rejection by which a target asked a VM for a pause. */
export interface PauseRequest extends LimitArrival {
  readonly pauseMs: number;
}

/** Events that were recorded outside the VMs. */
export interface StatementObservations extends Pick<LimitObservations, 'arrivals' | 'excused'> {
  readonly pauses: readonly PauseRequest[];
  /** Answers that VMs received which state that their target is shutting down. */
  readonly drainsReceived: readonly LimitArrival[];
}

/** Time that a VM has to apply a pause, in milliseconds. */
const PAUSE_GRACE_MS = 500;

/** Requests that a target may get from a VM during a pause. */
const MAX_REQUESTS_IN_PAUSE = 2;

/** Time that a VM has to apply a drain that an answer stated, in milliseconds. */
const DRAIN_GRACE_MS = 2_000;

type Excuse = NonNullable<LimitObservations['excused']>[number];

/** Whether a VM lost its memory, or was stopped, at some time between two others. */
function isExcused(excused: readonly Excuse[], vm: string, from: number, until: number): boolean {
  return excused.some((each) => each.vm === vm && each.from <= until && each.until >= from);
}

function isFromSame(a: LimitArrival, b: LimitArrival): boolean {
  return a.target === b.target && a.vm === b.vm;
}

/**
 * Describes each pause in which its target got more requests from the VM that it rejected than
 * allowed.
 * @param observations - Events recorded outside the VMs.
 */
export function findBrokenPauses({
  arrivals,
  pauses,
  excused = [],
}: StatementObservations): string[] {
  return pauses.flatMap((pause) => {
    const from = pause.at + PAUSE_GRACE_MS;
    const until = pause.at + pause.pauseMs;
    const got = arrivals.filter(
      (arrival) => isFromSame(arrival, pause) && arrival.at > from && arrival.at < until,
    ).length;
    if (got <= MAX_REQUESTS_IN_PAUSE || isExcused(excused, pause.vm, pause.at, until)) return [];
    return `${pause.target} asked ${pause.vm} for a pause of ${pause.pauseMs} ms and got ${got} requests`;
  });
}

/**
 * Describes each request that reached a target long after its VM had received an answer by which
 * the target was shutting down.
 * @param observations - Events recorded outside the VMs.
 */
export function findLateArrivals({
  arrivals,
  drainsReceived,
  excused = [],
}: StatementObservations): string[] {
  return arrivals.flatMap((arrival) => {
    const received = drainsReceived.find(
      (each) =>
        isFromSame(arrival, each) &&
        arrival.at > each.at + DRAIN_GRACE_MS &&
        !isExcused(excused, each.vm, each.at, arrival.at),
    );
    if (received === undefined) return [];
    const lateMs = Math.round(arrival.at - received.at);
    return `${arrival.target} got a request from ${arrival.vm} ${lateMs} ms after it announced its shutdown`;
  });
}
