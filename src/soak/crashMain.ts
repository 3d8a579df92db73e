import type { CrashTrialOptions } from './runCrashTrial.js';
import { runCrashTrial } from './runCrashTrial.js';

const BASE: CrashTrialOptions = {
  gateways: 6,
  forMs: 14_000,
  intervalMs: 250,
  kind: 'idempotent',
  fatalRequests: 1,
};

/** Trials by name. */
const TRIALS: Readonly<Record<string, CrashTrialOptions>> = {
  idempotent: BASE,
  notIdempotent: { ...BASE, kind: 'notIdempotent' },
  siblings: { ...BASE, kind: 'notIdempotent', hasSiblings: true },
  two: { ...BASE, fatalRequests: 2 },
  rare: { ...BASE, intervalMs: 900 },
  storeAway: { ...BASE, storeCutAtMs: 0 },
  gatewayKilled: { ...BASE, killAtMs: 5_000 },
  none: { ...BASE, fatalRequests: 0, ownCrashes: 6 },
};

/** Runs the trials that are named, or all of them, and prints a line for each. */
async function main(): Promise<void> {
  const named = process.argv.slice(2);
  const unknown = named.find((name) => TRIALS[name] === undefined);
  if (unknown !== undefined) {
    throw new RangeError(`no trial ${unknown}; there are ${Object.keys(TRIALS).join(', ')}`);
  }
  for (const name of named.length > 0 ? named : Object.keys(TRIALS)) {
    const result = await runCrashTrial(TRIALS[name]);
    process.stdout.write(`${name} ${JSON.stringify(result)}\n`);
  }
  process.exit(0);
}

main().catch((err: Error) => {
  process.stderr.write(`${err.message}\n`);
  process.exit(2);
});
