import type { QuotaBound } from '../quotas/index.js';
import type { LabOrganisation } from './labOrganisations.js';

/** One try of a caller that belongs to an organisation. */
export interface QuotaTry {
  readonly organisation: string;
  readonly startedAt: number;
  /** When a target first ran it, in virtual milliseconds; undefined if none did. */
  ranAt?: number;
  /** Whether it was refused because the organisation had used up its quota. */
  isOverQuota: boolean;
}

/** Window in which the runs of an organisation were highest relative to its bound. */
export interface QuotaWindow {
  readonly organisation: string;
  /** End of the window, in virtual milliseconds. */
  readonly at: number;
  readonly got: number;
  readonly allowed: number;
}

function findWorstWindow(
  { name: organisation, quota }: Pick<LabOrganisation, 'name' | 'quota'>,
  tries: readonly QuotaTry[],
  { windowMs, overage, slack }: QuotaBound,
): QuotaWindow {
  const allowed = ((quota.ratePerSecond * windowMs) / 1_000 + quota.burst) * (1 + overage) + slack;
  const times = tries.flatMap(({ ranAt }) => ranAt ?? []).sort((a, b) => a - b);
  let worst: QuotaWindow = { organisation, at: 0, got: 0, allowed };
  let first = 0;
  times.forEach((at, i) => {
    while (times[first] <= at - windowMs) first += 1;
    const got = i - first + 1;
    if (got > worst.got) worst = { organisation, at, got, allowed };
  });
  return worst;
}

function groupByOrganisation(tries: readonly QuotaTry[]): ReadonlyMap<string, QuotaTry[]> {
  const groups = new Map<string, QuotaTry[]>();
  for (const each of tries) {
    const group = groups.get(each.organisation);
    if (group === undefined) groups.set(each.organisation, [each]);
    else group.push(each);
  }
  return groups;
}

/**
 * Finds the window of each organisation in which most of its tries ran. All VMs count, also those that
 * are cut off.
 * @param organisations - Organisations with their quotas.
 * @param tries - All tries of their callers.
 * @param bound - How far the quotas may be exceeded.
 * @example
 * findWorstQuotaWindows(organisations, tries, bound).filter(({ got, allowed }) => got > allowed);
 */
export function findWorstQuotaWindows(
  organisations: readonly Pick<LabOrganisation, 'name' | 'quota'>[],
  tries: readonly QuotaTry[],
  bound: QuotaBound,
): QuotaWindow[] {
  const groups = groupByOrganisation(tries);
  return organisations.map((each) => findWorstWindow(each, groups.get(each.name) ?? [], bound));
}

/**
 * Counts the tries that were refused for their quota although one token bucket for all VMs, with the
 * rate and the burst, would have admitted them.
 * @param organisations - Organisations with their quotas.
 * @param tries - All tries of their callers, in the order of their start.
 */
export function countRefusedWithinQuota(
  organisations: readonly Pick<LabOrganisation, 'name' | 'quota'>[],
  tries: readonly QuotaTry[],
): number {
  const groups = groupByOrganisation(tries);
  let count = 0;
  for (const { name, quota } of organisations) {
    let tokens = quota.burst;
    let filledAt = 0;
    for (const { startedAt, isOverQuota } of groups.get(name) ?? []) {
      const refill = ((startedAt - filledAt) / 1_000) * quota.ratePerSecond;
      tokens = Math.min(quota.burst, tokens + refill);
      filledAt = startedAt;
      if (tokens >= 1) {
        tokens -= 1;
        if (isOverQuota) count += 1;
      }
    }
  }
  return count;
}
