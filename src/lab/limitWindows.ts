/** A request that reached a target. */
export interface LimitArrival {
  readonly target: string;
  /** VM that sent the request. */
  readonly vm: string;
  /** Virtual time in milliseconds. */
  readonly at: number;
}

/** A change of the limit that a target advertises. */
export interface LimitChange {
  readonly target: string;
  /** Requests per second; undefined if the target no longer advertises a limit. */
  readonly perSecond: number | undefined;
  readonly at: number;
}

/** Limit-related events that were recorded outside the VMs. */
export interface LimitObservations {
  readonly arrivals: readonly LimitArrival[];
  readonly limitChanges: readonly LimitChange[];
  /** Answers with a limit that VMs forwarded to callers. */
  readonly forwardedLimits: readonly LimitArrival[];
  /** Periods in which a VM's requests aren't counted because of an outage, recovery included. */
  readonly excused?: readonly {
    readonly vm: string;
    readonly from: number;
    readonly until: number;
  }[];
}

/** Time window in which a target's requests were highest relative to its limit. */
export interface LimitWindow {
  readonly target: string;
  /** End of the window, in virtual milliseconds. */
  readonly at: number;
  readonly got: number;
  readonly allowed: number;
}

/** Length of the window in which requests are counted, in milliseconds. */
const WINDOW_MS = 4_000;

/** Time that VMs have to apply a target's first limit, in milliseconds. */
const FIRST_LIMIT_GRACE_MS = 3_000;

/** A VM's requests count from this time after its first answer with the target's limit, in ms. */
const FORWARDED_GRACE_MS = 500;

/** A window may hold this multiple of the limit, plus a fixed number of requests. */
const OVERAGE_FACTOR = 1.5;
const SLACK_REQUESTS = 5;

/** Gets the highest limit in force during a window; undefined if part of it had no limit. */
function getHighestLimit(
  limitChanges: readonly LimitChange[],
  from: number,
  until: number,
): number | undefined {
  const before = limitChanges.filter(({ at }) => at <= from).at(-1);
  const within = limitChanges.filter(({ at }) => at > from && at <= until);
  const limits = [before, ...within].map((each) => each?.perSecond);
  return limits.some((limit) => limit === undefined)
    ? undefined
    : Math.max(...(limits as number[]));
}

function findWorstWindow(target: string, observations: LimitObservations): LimitWindow | undefined {
  const limitChanges = observations.limitChanges.filter((each) => each.target === target);
  const firstAt = limitChanges.find(({ perSecond }) => perSecond !== undefined)?.at;
  if (firstAt === undefined) return undefined;
  const firstForwardedAt = new Map<string, number>();
  for (const { vm, at, target: id } of observations.forwardedLimits) {
    if (id === target) firstForwardedAt.set(vm, Math.min(at, firstForwardedAt.get(vm) ?? Infinity));
  }
  const isExcused = ({ vm, at }: LimitArrival): boolean =>
    (observations.excused ?? []).some(
      (each) => each.vm === vm && at >= each.from && at <= each.until,
    );
  const counted = observations.arrivals.filter(
    (each) =>
      each.target === target &&
      each.at >= (firstForwardedAt.get(each.vm) ?? Infinity) + FORWARDED_GRACE_MS &&
      !isExcused(each),
  );
  let worst: LimitWindow | undefined;
  for (const { at } of counted) {
    if (at < firstAt + FIRST_LIMIT_GRACE_MS) continue;
    const limit = getHighestLimit(limitChanges, at - WINDOW_MS, at);
    if (limit === undefined) continue;
    const got = counted.filter((each) => each.at > at - WINDOW_MS && each.at <= at).length;
    const allowed = (OVERAGE_FACTOR * limit * WINDOW_MS) / 1_000 + SLACK_REQUESTS;
    if (worst === undefined || got / allowed > worst.got / worst.allowed) {
      worst = { target, at, got, allowed };
    }
  }
  return worst;
}

/**
 * Finds, for each target that advertised a limit, the window with the highest ratio of received to
 * allowed requests. Only requests from VMs that already knew of a limit of that target count.
 * @param observations - Events recorded outside the VMs.
 * @example
 * findWorstWindows(observations).filter(({ got, allowed }) => got > allowed); // exceeded limits
 */
export function findWorstWindows(observations: LimitObservations): LimitWindow[] {
  const targets = [...new Set(observations.limitChanges.map(({ target }) => target))];
  return targets.flatMap((target) => findWorstWindow(target, observations) ?? []);
}
