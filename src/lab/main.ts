import { DEMAND_PLANS } from './demandPlans.js';
import { getOverallScore } from './LabRecord.js';
import { DRAIN_PLANS, LAB_PLANS, LIMIT_PLANS, PAUSE_PLANS } from './plans.js';
import type { LabResult } from './playLab.js';
import { playLab } from './playLab.js';

/** Distance between the seeds of runs; each run also uses the seed that follows its own. */
const SEED_STEP = 7;

const ALL_PLANS = { ...LAB_PLANS, ...LIMIT_PLANS, ...PAUSE_PLANS, ...DRAIN_PLANS, ...DEMAND_PLANS };

function readFlag(flag: string, fallback: string): string {
  const at = process.argv.indexOf(`--${flag}`);
  return at < 0 ? fallback : (process.argv[at + 1] ?? fallback);
}

function getMean(values: readonly number[]): number {
  return values.reduce((sum, value) => sum + value, 0) / values.length;
}

function formatShares(title: string, shares: readonly ReadonlyMap<string, number>[]): string {
  const means = [...(shares[0]?.keys() ?? [])].map((group) => {
    const values = shares.flatMap((each) => each.get(group) ?? []);
    return `${group} ${getMean(values).toFixed(3)}`;
  });
  return means.length < 2 ? '' : `  ${title}: ${means.join(', ')}\n`;
}

/** Returns the highest use of a bound by the worst window of an organisation. */
function getWorstQuotaUse({ quotas }: LabResult): number {
  return Math.max(0, ...quotas.map(({ got, allowed }) => got / allowed));
}

/** Describes the outcomes by route, zone and organisation, and the traffic between VMs and zones. */
function describeGroups(results: readonly LabResult[]): string {
  const mean = (get: (result: LabResult) => number): number => getMean(results.map(get));
  const groups = results.map((each) => each.groups);
  const worst = groups.flatMap(({ worstOrganisations }) => worstOrganisations ?? []);
  const organisations =
    worst.length === 0
      ? ''
      : `  worst tenth of organisations ${getMean(worst).toFixed(3)}, refused below the limit ` +
        `${mean(({ refusedWithinQuota }) => refusedWithinQuota).toFixed(4)} of tries, worst window ` +
        `${mean(getWorstQuotaUse).toFixed(2)} of its bound\n`;
  const byRoute = groups.map((each) => each.byRoute);
  const byZone = groups.map((each) => each.byZone);
  return [
    formatShares('by route', byRoute),
    formatShares('by zone', byZone),
    organisations,
    `  refused ${mean((each) => each.groups.refused).toFixed(3)} of requests, `,
    `again ${mean((each) => each.groups.refusedAgain).toFixed(3)}, rejected by targets `,
    `${mean(({ rejected }) => rejected).toFixed(3)} a request, `,
    `${mean(({ messages }) => messages).toFixed(2)} messages a VM and second, `,
    `${mean(({ zoneBytes }) => zoneBytes).toFixed(0)} bytes between zones a request\n`,
  ].join('');
}

/** Runs one plan with several seeds, prints the mean results and returns whether all bounds held. */
function play(name: string, seeds: number): boolean {
  const results = Array.from({ length: seeds }, (_, i) =>
    playLab(ALL_PLANS[name], (i + 1) * SEED_STEP),
  );
  const mean = (get: (result: (typeof results)[number]) => number): string =>
    getMean(results.map(get)).toFixed(3).padStart(6);
  const broken = results.flatMap((result) => result.broken);
  process.stdout.write(
    `${name.padEnd(18)}${mean(({ score }) => getOverallScore(score))} of ` +
      `${mean(({ ceiling }) => getOverallScore(ceiling))}   ${mean(({ score }) => score.payoff)}   ` +
      `${mean(({ score }) => score.worstPayoff)}   ${mean(({ score }) => score.late)}   ` +
      `${mean(({ score }) => score.unserved)}   ${mean(({ score }) => score.refusals)}   ` +
      `${getMean(results.map(({ score }) => score.heldMs))
        .toFixed(0)
        .padStart(5)}   ` +
      `${getMean(results.map(({ probes }) => probes))
        .toFixed(1)
        .padStart(5)}  ${broken.slice(0, 3).join('; ')}\n`,
  );
  if (ALL_PLANS[name].zones !== undefined) process.stdout.write(describeGroups(results));
  return broken.length === 0;
}

/** Runs plans with the production balancing logic and compares them with an omniscient scheduler. */
function main(): void {
  const seeds = Number(readFlag('seeds', '5'));
  const all = Object.keys(ALL_PLANS);
  const chosen = readFlag('plan', Object.keys(LAB_PLANS).join()).split(',');
  const unknown = chosen.filter((name) => !all.includes(name));
  if (unknown.length > 0 || !Number.isInteger(seeds) || seeds < 1) {
    process.stderr.write(
      `--plan takes a comma-separated list of ${all.join(', ')}; --seeds an integer of at least 1\n`,
    );
    process.exitCode = 2;
    return;
  }
  process.stdout.write(
    `plan               score of ceiling  payoff    worst     late unserved refused  held, ms probes\n`,
  );
  const isSound = chosen.map((name) => play(name, seeds)).every(Boolean);
  process.exitCode = isSound ? 0 : 1;
}

main();
