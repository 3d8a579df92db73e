import type { CutTrialOptions } from './runCutTrial.js';
import { runCutTrial } from './runCutTrial.js';

const BASE: CutTrialOptions = { gateways: 6, cut: [0, 1, 2, 3], mode: 'silent', forMs: 8_000 };

/** Trials by name. */
const TRIALS: Readonly<Record<string, CutTrialOptions>> = {
  silent: BASE,
  reset: { ...BASE, mode: 'reset' },
  oneWay: { ...BASE, mode: 'oneWay' },
  one: { ...BASE, cut: [0] },
  zone: { ...BASE, cut: [0, 3], mode: 'reset' },
  two: { ...BASE, cut: [0, 1] },
  thenOthers: { ...BASE, cut: [0, 1, 2], thenCut: [3, 4, 5], forMs: 10_000 },
  flapping: { ...BASE, mode: 'reset', flapMs: 700 },
  all: { ...BASE, cut: [0, 1, 2, 3, 4, 5] },
  newReset: { ...BASE, mode: 'newReset' },
  storeAway: { ...BASE, isStoreAway: true },
  helperKilled: { ...BASE, kill: 5 },
  cutKilled: { ...BASE, kill: 0 },
};

/** Runs the trials that are named, or all of them, and prints a line for each. */
async function main(): Promise<void> {
  const named = process.argv.slice(2);
  const unknown = named.find((name) => TRIALS[name] === undefined);
  if (unknown !== undefined) {
    throw new RangeError(`no trial ${unknown}; there are ${Object.keys(TRIALS).join(', ')}`);
  }
  for (const name of named.length > 0 ? named : Object.keys(TRIALS)) {
    const result = await runCutTrial(TRIALS[name]);
    process.stdout.write(`${name} ${JSON.stringify(result)}\n`);
  }
  process.exit(0);
}

main().catch((err: Error) => {
  process.stderr.write(`${err.message}\n`);
  process.exit(2);
});
