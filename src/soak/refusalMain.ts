import { GATEWAY_MAINS } from './gatewayMains.js';
import { FLEET_OF_15, FLEET_OF_19 } from './retryFleets.js';
import { runNamedTrials } from './runNamedTrials.js';
import type { RefusalTrialOptions } from './runRefusalTrial.js';
import { runRefusalTrial } from './runRefusalTrial.js';

/** Seed of callers and targets. */
const SEED = Number(process.env.MASTICLINK_SOAK_SEED ?? 1);

/** Few answers are sent twice. */
const OF_15_FEW: RefusalTrialOptions = {
  fleet: FLEET_OF_15,
  requestsPerSecond: 60,
  copyingTargets: 0.6,
  copyShare: 0.03,
  rejectedShare: 0.55,
  forMs: 40_000,
  seed: SEED,
  gatewayMains: GATEWAY_MAINS,
};

const OF_19_FEW: RefusalTrialOptions = { ...OF_15_FEW, fleet: FLEET_OF_19, requestsPerSecond: 150 };

/** All targets send many of their answers twice. */
const MANY: Partial<RefusalTrialOptions> = { copyingTargets: 1, copyShare: 0.3 };

/** Trials by name. */
const TRIALS: Readonly<Record<string, RefusalTrialOptions>> = {
  of15Few: OF_15_FEW,
  of15Many: { ...OF_15_FEW, ...MANY },
  of15ManyAccepted: { ...OF_15_FEW, ...MANY, rejectedShare: 0 },
  of15ManySuspended: { ...OF_15_FEW, ...MANY, linkFault: 'suspended' },
  of15ManyLate: { ...OF_15_FEW, ...MANY, linkFault: 'halfLate' },
  of19Few: OF_19_FEW,
  of19Many: { ...OF_19_FEW, ...MANY },
  of19ManyAccepted: { ...OF_19_FEW, ...MANY, rejectedShare: 0 },
  of19ManySuspended: { ...OF_19_FEW, ...MANY, linkFault: 'suspended' },
  of19ManyLate: { ...OF_19_FEW, ...MANY, linkFault: 'halfLate' },
};

runNamedTrials(TRIALS, runRefusalTrial, ({ refused, twice }) => refused + twice === 0).catch(
  (err: Error) => {
    process.stderr.write(`${err.message}\n`);
    process.exit(2);
  },
);
