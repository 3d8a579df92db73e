import type { CutTrialOptions } from './runCutTrial.js';
import { runCutTrial } from './runCutTrial.js';
import { runNamedTrials } from './runNamedTrials.js';

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

runNamedTrials(TRIALS, runCutTrial).catch((err: Error) => {
  process.stderr.write(`${err.message}\n`);
  process.exit(2);
});
