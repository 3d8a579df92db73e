import { GATEWAY_MAINS } from './gatewayMains.js';
import { runSoak } from './runSoak.js';

/** Reads the number after a flag; throws a `RangeError` if it is not a positive integer. */
function readNumber(flag: string, fallback: number): number {
  const at = process.argv.indexOf(`--${flag}`);
  const value = at < 0 ? fallback : Number(process.argv[at + 1]);
  if (Number.isInteger(value) && value > 0) return value;
  throw new RangeError(`--${flag} needs an integer above 0`);
}

/** Runs a soak for each seed, one after the other. */
async function main(): Promise<void> {
  const first = readNumber('seed', 1);
  const seeds = readNumber('seeds', 1);
  const faultsMs = readNumber('seconds', 15) * 1_000;
  const isVerbose = process.argv.includes('--verbose');
  const hasRollouts = process.argv.includes('--rollouts');
  const hasLimits = process.argv.includes('--limits');
  const hasStatements = process.argv.includes('--statements');
  const hasRestores = process.argv.includes('--restores');
  const hasCrashes = process.argv.includes('--crashes');
  const hasReturns = process.argv.includes('--returns');
  const hasCuts = process.argv.includes('--cuts');
  const hasFailures = process.argv.includes('--failures');
  const hasExpiries = process.argv.includes('--expiries');
  const hasOrganisations = process.argv.includes('--organisations');
  const hasCopies = process.argv.includes('--copies');
  const hasAnswers = process.argv.includes('--answers');
  let failed = 0;
  for (let seed = first; seed < first + seeds; seed++) {
    const { broken, requests, served, faults, copiesMet, brokenOff, dir } = await runSoak({
      seed,
      faultsMs,
      hasRollouts,
      hasLimits,
      hasStatements,
      hasRestores,
      hasCrashes,
      hasReturns,
      hasCuts,
      hasFailures,
      hasExpiries,
      hasOrganisations,
      hasCopies,
      hasAnswers,
      gatewayMains: GATEWAY_MAINS,
      onFault: (name, atMs) => {
        if (isVerbose) process.stdout.write(`  ${(atMs / 1_000).toFixed(2)} s ${name}\n`);
      },
    });
    const verdict = broken.length === 0 ? 'passed' : `FAILED, logs in ${dir}`;
    const copies = hasCopies ? `, ${copiesMet} copies of answers met requests` : '';
    const answers = hasAnswers ? `, ${brokenOff} requests had an answer broken off` : '';
    process.stdout.write(
      `seed ${seed}: ${faults.length} faults${copies}${answers}, ${served} of ${requests} requests served: ${verdict}\n`,
    );
    for (const sentence of broken.slice(0, 10)) process.stdout.write(`  ${sentence}\n`);
    if (broken.length > 0) failed += 1;
  }
  process.stdout.write(`${seeds - failed} seeds passed, ${failed} failed\n`);
  process.exit(failed === 0 ? 0 : 1);
}

main().catch((err: Error) => {
  process.stderr.write(`${err.message}\n`);
  process.exit(2);
});
