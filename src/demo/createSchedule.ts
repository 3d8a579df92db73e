import type { DemoFleet } from './DemoFleet.js';
import { wait } from './DemoFleet.js';
import type { DemoSpec } from './DemoSpec.js';
import type { Closure, Observations } from './Observations.js';

/** One thing that happens during the run. */
export interface DemoStep {
  /** Share of the run at which it happens, between 0 and 1. */
  readonly at: number;
  readonly text: string;
  run(): void | Promise<void>;
}

/** The store is away for this long after a zone was taken out. */
const STORE_OUTAGE_MS = 1_200;

const SLOW_FACTOR = 10;

const CUTTING_MS = 200;

function close(observed: Observations, kind: Closure['kind'], name: string): Closure {
  const closure = { kind, name, from: performance.now(), to: Number.POSITIVE_INFINITY };
  observed.closures.push(closure);
  return closure;
}

function createZoneSteps(spec: DemoSpec, fleet: DemoFleet, observed: Observations): DemoStep[] {
  let zone: Closure | undefined;
  const takeOut = () =>
    fleet.publish({ [spec.zoneOut]: 'out' }, () => {
      zone = close(observed, 'zone', spec.zoneOut);
      fleet.store.faults.down = 'refusing';
      setTimeout(() => {
        fleet.store.faults.down = undefined;
      }, STORE_OUTAGE_MS);
    });
  const bringBack = () => {
    if (zone) zone.to = performance.now();
    return fleet.publish({ [spec.zoneOut]: 'in' });
  };
  return [
    {
      at: 0.25,
      text: `zone ${spec.zoneOut} is taken out, and the store goes down right after`,
      run: takeOut,
    },
    { at: 0.6, text: `zone ${spec.zoneOut} comes back`, run: bringBack },
  ];
}

function createTargetSteps(spec: DemoSpec, fleet: DemoFleet, observed: Observations): DemoStep[] {
  const slow = fleet.getTargetOrThrow(spec.slowTarget).faults;
  const cutting = fleet.getTargetOrThrow(spec.cuttingTarget).faults;
  const setSlow = (factor: number) => () => {
    slow.slowFactor = factor;
  };
  const leave = (): void => {
    fleet.markLeaving(spec.leavingTarget);
    close(observed, 'target', spec.leavingTarget);
  };
  const cut = async (): Promise<void> => {
    cutting.cutsAnswers = true;
    await wait(CUTTING_MS);
    cutting.cutsAnswers = false;
  };
  const { slowTarget, leavingTarget, crashingTarget, cuttingTarget } = spec;
  return [
    {
      at: 0.08,
      text: `${slowTarget} is suddenly ${SLOW_FACTOR} times slower`,
      run: setSlow(SLOW_FACTOR),
    },
    { at: 0.15, text: `the VM list shows ${leavingTarget} leaving`, run: leave },
    { at: 0.2, text: `${slowTarget} is as fast as before`, run: setSlow(1) },
    {
      at: 0.7,
      text: `${crashingTarget} restarts without warning, cold`,
      run: () => fleet.getTargetOrThrow(crashingTarget).crash(),
    },
    { at: 0.74, text: `${cuttingTarget} cuts its answers for a moment`, run: cut },
  ];
}

/**
 * What happens to a deployment during the run, in order of time.
 * @param spec - Deployment.
 * @param fleet - Its processes.
 * @param observed - Notes since when a zone or target may get no new work.
 */
export function createSchedule(
  spec: DemoSpec,
  fleet: DemoFleet,
  observed: Observations,
): DemoStep[] {
  const stop: DemoStep = {
    at: 0.8,
    text: 'one entry VM is stopped gracefully',
    run: () => fleet.stopOneEntry(),
  };
  return [
    ...createTargetSteps(spec, fleet, observed),
    ...createZoneSteps(spec, fleet, observed),
    stop,
  ].sort((a, b) => a.at - b.at);
}
