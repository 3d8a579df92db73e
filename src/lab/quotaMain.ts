import type { QuotaLabResult, QuotaSchemeName } from './quotaLab.js';
import { playQuotaLab } from './quotaLab.js';
import { QUOTA_PLANS } from './quotaPlan.js';

const SCHEMES: readonly QuotaSchemeName[] = ['permits', 'reports'];

/** Distance between the seeds of runs; each run also uses the seed that follows its own. */
const SEED_STEP = 7;

function formatRow(name: string, results: readonly QuotaLabResult[]): string {
  const mean = (get: (result: QuotaLabResult) => number, digits: number): string => {
    const sum = results.reduce((total, result) => total + get(result), 0);
    return (sum / results.length).toFixed(digits).padStart(9);
  };
  const worst = Math.max(...results.map(({ worstExcess }) => worstExcess));
  return [
    name.padEnd(18),
    mean(({ refused }) => refused * 100, 2),
    mean(({ refusedBelow }) => refusedBelow * 100, 3),
    mean(({ refusedBelowSmall }) => refusedBelowSmall * 100, 3),
    mean(({ refusedCutOff }) => refusedCutOff * 100, 2),
    mean(({ shortfall }) => shortfall * 100, 2),
    worst.toFixed(1).padStart(9),
    mean(({ messagesPerVmSecond }) => messagesPerVmSecond, 1),
    mean(({ bytesPerVmSecond }) => bytesPerVmSecond, 0),
    mean(({ meanWaitMs }) => meanWaitMs, 2),
    mean(({ longWaitMs }) => longWaitMs, 1),
  ].join(' ');
}

/** Compares permits with reported use on the plans named on the command line, or on all. */
function main(): void {
  const [seeds = '3', ...names] = process.argv.slice(2);
  process.stdout.write(
    'plan                 all, %  below, %  small, %    cut, %  short, %    excess  msg/VM/s    B/VM/s  wait, ms 99.9%, ms\n',
  );
  for (const name of names.length > 0 ? names : Object.keys(QUOTA_PLANS)) {
    for (const scheme of SCHEMES) {
      const results = Array.from({ length: Number(seeds) }, (_, i) =>
        playQuotaLab(QUOTA_PLANS[name], scheme, (i + 1) * SEED_STEP),
      );
      process.stdout.write(`${formatRow(`${name} ${scheme}`, results)}\n`);
    }
  }
}

main();
