import type { Deployment, DeploymentName } from '../proof/deployments.js';
import { makeDeployment } from '../proof/deployments.js';
import type { Arrival } from './arrivals.js';
import { drawArrivals, mergeArrivals } from './arrivals.js';
import { CentralQueue } from './CentralQueue.js';
import { FleetWorld } from './FleetWorld.js';
import { LocalChoice } from './LocalChoice.js';
import type { Served } from './Recorder.js';
import { Recorder } from './Recorder.js';
import type { ScenarioName, Span } from './scenarios.js';
import { SCENARIOS } from './scenarios.js';
import type { SystemName, World } from './World.js';

/** What one run of the bench covers. */
export interface BenchCase {
  readonly scenario: ScenarioName;
  readonly deployment: DeploymentName;
  readonly load: number;
  readonly seconds: number;
  readonly seed: number;
}

/** Cost of measuring and of the store under one system. */
export interface Costs {
  /** Slot time of probes as a share of all slot time. */
  readonly probeShare: number;
  readonly coldFalls: number;
  readonly peakStoreWrites: number;
  readonly peakStoreReads: number;
}

/** What one system made of a case. */
export interface SystemResult {
  readonly system: SystemName;
  readonly served: Served;
  readonly costs: Costs;
  readonly brokenPromises: readonly string[];
}

/** Time before measuring begins: processes start, leases are written, targets warm up. */
const WARM_UP_MS = 8_000;

/** Time after the last measured request in which it may still be answered. */
const DRAIN_MS = 6_000;

/** From an entry VM to a target of its availability zone, in milliseconds. */
const ZONE_HOP_MS = 0.2;

/** Feeds arrivals one after another, so that the clock holds only the next. */
function feed(world: World, arrivals: readonly Arrival[], recorder: Recorder): void {
  let next = 0;
  const sendNext = () => {
    const arrival = arrivals[next];
    if (arrival === undefined) return;
    next += 1;
    world.clock.after(arrival.at - world.clock.now(), () => {
      const isMeasured = recorder.expects(arrival);
      world.send(arrival.request, (answer) => {
        if (isMeasured) recorder.record(answer, world.clock.now() - arrival.at);
      });
      sendNext();
    });
  };
  sendNext();
}

function makeWorld(system: SystemName, deployment: Deployment, seed: number): World {
  if (system === 'omniscient') return new CentralQueue(deployment, ZONE_HOP_MS, seed);
  if (system === 'masticlink') return new FleetWorld(deployment, ZONE_HOP_MS, seed);
  return new LocalChoice(deployment, system, ZONE_HOP_MS, seed);
}

function getCosts(world: World, deployment: Deployment): Costs {
  const targets = [...world.targets.values()];
  const slots = targets.reduce((sum, { options }) => sum + options.slots, 0);
  const probeMs = targets.reduce((sum, target) => sum + target.probeMs, 0);
  const seconds = world instanceof FleetWorld ? world.fleet.store.callsBySecond : [];
  return {
    probeShare: deployment.services.length === 0 ? 0 : probeMs / (slots * world.clock.now()),
    coldFalls: targets.reduce((sum, target) => sum + target.overloadCrashes, 0),
    peakStoreWrites: Math.max(0, ...seconds.map(({ writes }) => writes)),
    peakStoreReads: Math.max(0, ...seconds.map(({ reads }) => reads)),
  };
}

function listBroken(world: World): string[] {
  if (!(world instanceof FleetWorld)) return [];
  return world.promises.violations.map(
    ({ promise, at, detail }) => `${promise} at ${Math.round(at)} ms: ${detail}`,
  );
}

/**
 * Runs one system through a case.
 * @param system - Which.
 * @param benchCase - The case; the same arrivals and faults for each system.
 */
export function runSystem(system: SystemName, benchCase: BenchCase): SystemResult {
  const { seconds, seed, load } = benchCase;
  const deployment = makeDeployment(benchCase.deployment);
  const scenario = SCENARIOS[benchCase.scenario];
  const span: Span = { fromMs: WARM_UP_MS, untilMs: WARM_UP_MS + seconds * 1_000, seed };
  const ordinary = drawArrivals({
    services: deployment.services,
    load,
    untilMs: span.untilMs,
    seed,
  });
  const arrivals = mergeArrivals([ordinary, scenario.extra?.(span, deployment) ?? []]);
  const world = makeWorld(system, deployment, seed);
  const recorder = new Recorder(span.fromMs, span.untilMs);
  scenario.plan?.(world, span, deployment);
  feed(world, arrivals, recorder);
  world.clock.runUntil(span.untilMs + DRAIN_MS);
  return {
    system,
    served: recorder.summarize(),
    costs: getCosts(world, deployment),
    brokenPromises: listBroken(world),
  };
}
