import { GATEWAY_MAINS } from './gatewayMains.js';
import { FLEET_OF_15 } from './retryFleets.js';
import { runNamedTrials } from './runNamedTrials.js';
import type { AnswerTrialOptions } from './runAnswerTrial.js';
import { runAnswerTrial } from './runAnswerTrial.js';

const SMALL: AnswerTrialOptions = {
  fleet: FLEET_OF_15,
  requestsPerSecond: 33,
  shares: { large: 0, unframed: 0.3, reset: 0.05, copied: 0.03, rejected: 0.2 },
  fault: 'replaced',
  forMs: 60_000,
  /** Seed of callers and targets. */
  seed: Number(process.env.MASTICLINK_SOAK_SEED ?? 1),
  gatewayMains: GATEWAY_MAINS,
};

const LARGE = { large: 0.3, unframed: 0.5, reset: 0.1, copied: 0.1, rejected: 0.1 };

/** Trials by name. */
const TRIALS: Readonly<Record<string, AnswerTrialOptions>> = {
  of15Small: SMALL,
  of15Large: { ...SMALL, shares: LARGE },
  of15LargeUnframed: { ...SMALL, shares: { ...LARGE, unframed: 1 } },
  of15LargeKilled: { ...SMALL, shares: LARGE, fault: 'halfKilledRepeatedly' },
};

runNamedTrials(TRIALS, runAnswerTrial, ({ incomplete, twice }) => incomplete + twice === 0).catch(
  (err: Error) => {
    process.stderr.write(`${err.message}\n`);
    process.exit(2);
  },
);
