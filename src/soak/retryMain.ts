import { GATEWAY_MAINS } from './gatewayMains.js';
import { FLEET_OF_15, FLEET_OF_19, SMALL_FLEET } from './retryFleets.js';
import { runNamedTrials } from './runNamedTrials.js';
import type { RetryTrialOptions } from './runRetryTrial.js';
import { runRetryTrial } from './runRetryTrial.js';

const BASE: RetryTrialOptions = {
  fleet: SMALL_FLEET,
  behaviour: 'fails',
  requestsPerSecond: 20,
  forMs: 22_000,
  gatewayMains: GATEWAY_MAINS,
};

const REJECTING: RetryTrialOptions = { ...BASE, behaviour: 'sheds' };

/** Trials by name. */
const SMALL_TRIALS: Readonly<Record<string, RetryTrialOptions>> = {
  failing: BASE,
  failingReplaced: { ...BASE, faults: ['replaced'] },
  failingAllKilled: { ...BASE, faults: ['allKilled'] },
  failingHalfKilled: { ...BASE, faults: ['halfKilledRepeatedly'], requestsPerSecond: 40 },
  rejecting: REJECTING,
  rejectingReplaced: { ...REJECTING, faults: ['replaced'] },
  rejectingReplacedTogether: { ...REJECTING, faults: ['replacedTogether'] },
  rejectingAllKilled: { ...REJECTING, faults: ['allKilled'] },
  rejectingHalfKilled: { ...REJECTING, faults: ['halfKilledRepeatedly'] },
  rejectingStoreAway: { ...REJECTING, faults: ['killedWhileStoreAway'] },
  rejectingAdded: { ...REJECTING, faults: ['added'] },
  rejectingLeft: { ...REJECTING, faults: ['left'] },
  rejectingVmsLost: { ...REJECTING, faults: ['vmsLost'], forMs: 26_000 },
  cutOff: { ...BASE, behaviour: 'sound', faults: ['cutOff'], requestsPerSecond: 60 },
};

/** Trials of a fleet with several services, by name without its prefix. */
function createFleetTrials(base: RetryTrialOptions): Readonly<Record<string, RetryTrialOptions>> {
  const rejecting: RetryTrialOptions = { ...base, behaviour: 'sheds' };
  const breaking: RetryTrialOptions = { ...base, behaviour: 'cuts' };
  return {
    Rejecting: rejecting,
    RejectingReplaced: { ...rejecting, faults: ['replaced'] },
    RejectingKilled: { ...rejecting, faults: ['allKilled'] },
    RejectingHalfKilled: { ...rejecting, faults: ['halfKilledRepeatedly'] },
    RejectingSuspended: { ...rejecting, faults: ['halfSuspended'] },
    RejectingStalled: { ...rejecting, faults: ['stalled'] },
    RejectingReloaded: { ...rejecting, faults: ['reloaded', 'halfKilledRepeatedly'] },
    RejectingStoreAway: { ...rejecting, faults: ['killedWhileStoreAwayLong'] },
    RejectingVmsForgotten: { ...rejecting, faults: ['vmsForgotten'] },
    RejectingKilledVmsForgotten: { ...rejecting, faults: ['killedWhileVmsForgotten'] },
    RejectingVmsLost: { ...rejecting, faults: ['vmsLost'], forMs: 28_000 },
    RejectingKilledVmsLost: { ...rejecting, faults: ['killedWhileVmsLost'], forMs: 28_000 },
    RejectingRouteMoves: { ...rejecting, faults: ['routeMoves', 'replaced'] },
    RejectingTargetsSuspended: { ...rejecting, linkFault: 'suspended' },
    RejectingTargetsLate: { ...rejecting, linkFault: 'late' },
    BreakingTargetsSuspended: { ...breaking, linkFault: 'halfSuspended' },
    BreakingTargetsLate: { ...breaking, linkFault: 'halfLate' },
    RejectingAfterSuspended: { ...rejecting, linkFault: 'halfSuspended', failsAfterLinks: true },
    RejectingAfterAllSuspended: { ...rejecting, linkFault: 'suspended', failsAfterLinks: true },
    RejectingAfterLate: { ...rejecting, linkFault: 'halfLate', failsAfterLinks: true },
    RejectingAfterAllLate: { ...rejecting, linkFault: 'late', failsAfterLinks: true },
    BreakingReplaced: { ...breaking, faults: ['replaced'] },
    RejectingAdded: { ...rejecting, faults: ['added'] },
    RejectingCutOff: { ...rejecting, faults: ['cutOff'] },
    RejectingCutRepeatedly: { ...rejecting, faults: ['cutRepeatedly'] },
    FailingCutRepeatedly: { ...base, faults: ['cutRepeatedly'] },
    BreakingCutOff: { ...breaking, faults: ['cutOff', 'halfKilledRepeatedly'] },
    FailingCutOff: { ...base, faults: ['cutOff'] },
    FailingHalfKilled: { ...base, faults: ['halfKilledRepeatedly'] },
    IntermittentKilled: { ...breaking, isIntermittent: true, faults: ['allKilled'] },
  };
}

function addPrefix<T>(prefix: string, trials: Readonly<Record<string, T>>): Record<string, T> {
  return Object.fromEntries(Object.entries(trials).map(([name, each]) => [prefix + name, each]));
}

const TRIALS: Readonly<Record<string, RetryTrialOptions>> = {
  ...SMALL_TRIALS,
  ...addPrefix('of15', createFleetTrials({ ...BASE, fleet: FLEET_OF_15, requestsPerSecond: 60 })),
  ...addPrefix('of19', createFleetTrials({ ...BASE, fleet: FLEET_OF_19, requestsPerSecond: 60 })),
  ...addPrefix(
    'of19Loaded',
    createFleetTrials({ ...BASE, fleet: FLEET_OF_19, requestsPerSecond: 180 }),
  ),
};

runNamedTrials(TRIALS, runRetryTrial).catch((err: Error) => {
  process.stderr.write(`${err.message}\n`);
  process.exit(2);
});
