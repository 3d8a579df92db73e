import type { LabRecord } from './LabRecord.js';
import { getPayoffShare } from './LabRecord.js';

/** Outcomes of the groups of callers of a run. */
export interface GroupScores {
  /** Earned value of each route as a share of the value of its requests. */
  readonly byRoute: ReadonlyMap<string, number>;
  /** The same by the caller's zone; empty if the plan has no zones. */
  readonly byZone: ReadonlyMap<string, number>;
  /** The same by organisation; empty if the plan has none. */
  readonly byOrganisation: ReadonlyMap<string, number>;
  /** Mean of the worst tenth of the organisations that never exceed their usual rate. */
  readonly worstOrganisations: number | undefined;
  /** Requests that were refused at least once and at least twice, as shares of all requests. */
  readonly refused: number;
  readonly refusedAgain: number;
}

function scoreBy(
  records: readonly LabRecord[],
  getGroup: (record: LabRecord) => string | undefined,
): ReadonlyMap<string, number> {
  const groups = new Map<string, LabRecord[]>();
  for (const record of records) {
    const group = getGroup(record);
    if (group !== undefined) {
      const members = groups.get(group);
      if (members === undefined) groups.set(group, [record]);
      else members.push(record);
    }
  }
  const names = [...groups.keys()].sort((a, b) => a.localeCompare(b, 'en', { numeric: true }));
  return new Map(names.map((name) => [name, getPayoffShare(groups.get(name) ?? [])]));
}

function getWorstTenth(shares: readonly number[]): number | undefined {
  if (shares.length === 0) return undefined;
  const worst = [...shares].sort((a, b) => a - b).slice(0, Math.ceil(shares.length / 10));
  return worst.reduce((sum, share) => sum + share, 0) / worst.length;
}

/**
 * Computes the outcomes by route, zone and organisation.
 * @param records - All requests of a run.
 * @param surging - Names of the organisations that exceed their usual rate.
 */
export function scoreGroups(
  records: readonly LabRecord[],
  surging: ReadonlySet<string>,
): GroupScores {
  const byOrganisation = scoreBy(records, ({ organisation }) => organisation);
  const usual = [...byOrganisation].filter(([name]) => !surging.has(name));
  const getShare = (minRefusals: number): number =>
    records.filter(({ refusals }) => refusals >= minRefusals).length / records.length;
  return {
    byRoute: scoreBy(records, ({ route }) => route.name),
    byZone: scoreBy(records, ({ zone }) => zone),
    byOrganisation,
    worstOrganisations: getWorstTenth(usual.map(([, share]) => share)),
    refused: getShare(1),
    refusedAgain: getShare(2),
  };
}
