/** A request that reached a target. */
export interface LimitArrival {
  readonly target: string;
  /** VM that sent it. */
  readonly vm: string;
  /** In milliseconds. */
  readonly at: number;
}

/** A target named a limit, another one, or none any more. */
export interface LimitNaming {
  readonly target: string;
  /** Requests a second; undefined if none is named from then on. */
  readonly perSecond: number | undefined;
  readonly at: number;
}

/** What was seen of limits from outside the VMs. */
export interface LimitObservations {
  readonly arrivals: readonly LimitArrival[];
  readonly namings: readonly LimitNaming[];
  /** Answers with a limit that VMs passed on to callers. */
  readonly told: readonly LimitArrival[];
  /** Times at which VMs were disturbed, which excuses them until they are settled. */
  readonly excused?: readonly {
    readonly vm: string;
    readonly from: number;
    readonly until: number;
  }[];
}

/** The stretch of time in which a target got most, against what its limit allows. */
export interface LimitWindow {
  readonly target: string;
  /** End of the stretch. */
  readonly at: number;
  readonly got: number;
  readonly allowed: number;
}

/** Length of the stretch that requests are counted in, in milliseconds. */
const WINDOW_MS = 4_000;

/** From the first naming on VMs have so long to act by it, in milliseconds. */
const SETTLE_MS = 3_000;

/** A VM is counted from this time after it has passed on an answer that names a limit, in ms. */
const TOLD_MS = 500;

/** What a target may get in a stretch: so many times its limit, and so many requests more. */
const OVERAGE = 1.5;
const SLACK = 5;

/** The highest limit in force at any time of a stretch; undefined if none was for a part of it. */
function getLimit(
  namings: readonly LimitNaming[],
  from: number,
  until: number,
): number | undefined {
  const before = namings.filter(({ at }) => at <= from).at(-1);
  const within = namings.filter(({ at }) => at > from && at <= until);
  const limits = [before, ...within].map((each) => each?.perSecond);
  return limits.some((limit) => limit === undefined)
    ? undefined
    : Math.max(...(limits as number[]));
}

function findWorst(target: string, seen: LimitObservations): LimitWindow | undefined {
  const namings = seen.namings.filter((each) => each.target === target);
  const firstAt = namings.find(({ perSecond }) => perSecond !== undefined)?.at;
  if (firstAt === undefined) return undefined;
  const toldAt = new Map<string, number>();
  for (const { vm, at, target: id } of seen.told) {
    if (id === target) toldAt.set(vm, Math.min(at, toldAt.get(vm) ?? Infinity));
  }
  const isExcused = ({ vm, at }: LimitArrival): boolean =>
    (seen.excused ?? []).some((each) => each.vm === vm && at >= each.from && at <= each.until);
  const counted = seen.arrivals.filter(
    (each) =>
      each.target === target &&
      each.at >= (toldAt.get(each.vm) ?? Infinity) + TOLD_MS &&
      !isExcused(each),
  );
  let worst: LimitWindow | undefined;
  for (const { at } of counted) {
    if (at < firstAt + SETTLE_MS) continue;
    const limit = getLimit(namings, at - WINDOW_MS, at);
    if (limit === undefined) continue;
    const got = counted.filter((each) => each.at > at - WINDOW_MS && each.at <= at).length;
    const allowed = (OVERAGE * limit * WINDOW_MS) / 1_000 + SLACK;
    if (worst === undefined || got / allowed > worst.got / worst.allowed) {
      worst = { target, at, got, allowed };
    }
  }
  return worst;
}

/**
 * For each target that named a limit, the stretch in which it got most of what that allows, from VMs
 * that it had told.
 * @param seen - What was seen from outside the VMs.
 * @example
 * findWorstWindows(seen).filter(({ got, allowed }) => got > allowed); // broken limits
 */
export function findWorstWindows(seen: LimitObservations): LimitWindow[] {
  const targets = [...new Set(seen.namings.map(({ target }) => target))];
  return targets.flatMap((target) => findWorst(target, seen) ?? []);
}
