import type { LabCallers } from './LabCallers.js';
import type { LabPlan } from './LabPlan.js';
import { makeOrganisations } from './labOrganisations.js';
import type { LabVm } from './LabVm.js';
import type { QuotaWindow } from './quotaWindows.js';
import { countRefusedWithinQuota, findWorstQuotaWindows } from './quotaWindows.js';
import type { GroupScores } from './scoreGroups.js';
import { scoreGroups } from './scoreGroups.js';

/** What became of the demand of routes, zones and organisations in a run. */
export interface DemandSummary {
  /** Outcomes by route, zone and organisation. */
  readonly groups: GroupScores;
  /** Requests that targets rejected, per request of a caller. */
  readonly rejected: number;
  /** Messages that a VM sends to other VMs, per second. */
  readonly messages: number;
  /** Bytes between zones per request of a caller. */
  readonly zoneBytes: number;
  /** Worst window of each organisation. */
  readonly quotas: readonly QuotaWindow[];
  /** Tries refused for their quota below the limit, as a share of all tries with an organisation. */
  readonly refusedWithinQuota: number;
}

/**
 * Summarizes a run by route, zone and organisation.
 * @param plan - The plan that was run.
 * @param callers - Its callers, with the records of their requests.
 * @param vms - All VMs.
 * @param endsAt - End of the run, in virtual milliseconds.
 */
export function summarizeDemand(
  plan: LabPlan,
  { records, quotaTries }: LabCallers,
  vms: readonly LabVm[],
  endsAt: number,
): DemandSummary {
  const organisations = makeOrganisations(plan);
  const surging = (plan.organisations?.surges ?? []).map(({ rank }) => organisations[rank].name);
  const countAll = (get: (vm: LabVm) => number): number =>
    vms.reduce((sum, vm) => sum + get(vm), 0);
  return {
    groups: scoreGroups(records, new Set(surging)),
    rejected: countAll(({ rejected }) => rejected) / records.length,
    messages: (countAll(({ messages }) => messages) / vms.length / endsAt) * 1_000,
    zoneBytes: countAll(({ zoneBytes }) => zoneBytes) / records.length,
    quotas:
      plan.organisations === undefined
        ? []
        : findWorstQuotaWindows(organisations, quotaTries, plan.organisations.bound),
    refusedWithinQuota:
      countRefusedWithinQuota(organisations, quotaTries) / Math.max(1, quotaTries.length),
  };
}

/** Describes a window with more runs than its bound. */
export function describeQuotaExcess({ organisation, at, got, allowed }: QuotaWindow): string {
  const seconds = (at / 1_000).toFixed(1);
  const limit = Math.floor(allowed);
  return `${got} requests of ${organisation} ran in the window before ${seconds} s, the bound is ${limit}`;
}
