import type { CrashTrialOptions } from './runCrashTrial.js';
import { runCrashTrial } from './runCrashTrial.js';
import { runNamedTrials } from './runNamedTrials.js';

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
  sameAddress: { ...BASE, replacement: 'sameAddress' },
  unhealthyAtSameAddress: { ...BASE, replacement: 'unhealthyAtSameAddress' },
  sameId: { ...BASE, replacement: 'sameId' },
  failing15: { ...BASE, intervalMs: 100, failedShare: 0.15 },
  failing40: { ...BASE, intervalMs: 100, failedShare: 0.4 },
  failing70: { ...BASE, intervalMs: 100, failedShare: 0.7 },
  atOnce: { ...BASE, copiesAtOnce: 24, intervalMs: 5_000 },
  quick: { ...BASE, intervalMs: 40 },
  peersCut: { ...BASE, arePeersCut: true },
  none: { ...BASE, fatalRequests: 0, ownCrashes: 6 },
};

runNamedTrials(TRIALS, runCrashTrial).catch((err: Error) => {
  process.stderr.write(`${err.message}\n`);
  process.exit(2);
});
