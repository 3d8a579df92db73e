import { fileURLToPath } from 'node:url';

import type { CoreSettings } from '../core/index.js';
import { canDrive } from '../core/index.js';
import { makeDeployment } from '../proof/deployments.js';
import { VirtualFleet } from '../proof/VirtualFleet.js';

/** How long a fleet runs before one entry VM is lost, and how long it is watched. */
const START_MS = 4_000;
const WATCH_MS = 8_000;
const STEP_MS = 5;
const SEEDS = 20;

/** What the loss of one entry VM cost. */
export interface IdleResult {
  readonly loss: 'process ends' | 'machine dies';
  readonly leaseMs: number;
  /** Time until its targets were driven again, in milliseconds. */
  readonly meanMs: number;
  readonly longestMs: number;
  /** Share of all targets that it drove, between 0 and 1. */
  readonly share: number;
  /** Idle target-seconds for each loss. */
  readonly idleTargetSeconds: number;
}

function startFleet(seed: number, settings: Partial<CoreSettings>): VirtualFleet {
  const { zones, services, machines, clientHopMs } = makeDeployment('maree-boreale');
  const fleet = new VirtualFleet({
    seed,
    machines,
    zones,
    services,
    network: { hopMs: 1, zoneHopMs: 0.2, clientHopMs, jitterShare: 0 },
    settings,
    targets: {},
    copiesMessages: false,
    vmListLagMs: 2_000,
    pushesFirst: true,
    observe: () => {},
  });
  fleet.start();
  return fleet;
}

/** Targets that no running process may send to now. */
function countIdle(fleet: VirtualFleet): number {
  const driven = new Set<string>();
  for (const vm of fleet.current.values()) {
    if (vm.life === 'ended') continue;
    for (const { config, partition } of vm.state.targets.records.values()) {
      if (canDrive(vm.state, partition, vm.now())) driven.add(config.id);
    }
  }
  return fleet.targets.size - driven.size;
}

function runOnce(seed: number, machineToo: boolean, settings: Partial<CoreSettings>) {
  const fleet = startFleet(seed, settings);
  // Losses come at any moment of the renewal period.
  fleet.clock.runUntil(START_MS + seed * 37);
  const vms = [...fleet.current.values()];
  const [lost] = vms.sort((a, b) => b.state.targets.records.size - a.state.targets.records.size);
  if (lost === undefined) return { idleMs: 0, idleTargetMs: 0, share: 0 };
  const share = lost.state.targets.records.size / fleet.targets.size;
  const lostAt = fleet.clock.now();
  fleet.kill(lost, machineToo);
  let idleMs = 0;
  let idleTargetMs = 0;
  for (let at = STEP_MS; at <= WATCH_MS; at += STEP_MS) {
    fleet.clock.runUntil(lostAt + at);
    const idle = countIdle(fleet);
    idleTargetMs += idle * STEP_MS;
    if (idle > 0) idleMs = at;
  }
  return { idleMs, idleTargetMs, share };
}

/**
 * Measures, in virtual time, how long the targets of a lost entry VM stand idle.
 * @param machineToo - True if its machine dies; false if only its process ends.
 * @param leaseMs - Duration of a lease; it is renewed three times as often.
 * @example
 * const { meanMs } = measureIdle(true, 1_500);
 */
export function measureIdle(machineToo: boolean, leaseMs: number): IdleResult {
  const settings = { leaseDurationMs: leaseMs, leaseRenewMs: leaseMs / 3 };
  const runs = Array.from({ length: SEEDS }, (_, i) => runOnce(i + 1, machineToo, settings));
  const mean = (values: number[]): number => values.reduce((sum, each) => sum + each, 0) / SEEDS;
  return {
    loss: machineToo ? 'machine dies' : 'process ends',
    leaseMs,
    meanMs: Math.round(mean(runs.map(({ idleMs }) => idleMs))),
    longestMs: Math.max(...runs.map(({ idleMs }) => idleMs)),
    share: mean(runs.map(({ share }) => share)),
    idleTargetSeconds: mean(runs.map(({ idleTargetMs }) => idleTargetMs)) / 1_000,
  };
}

if (process.argv[1] === fileURLToPath(import.meta.url)) {
  const cases = [3_000, 1_500, 900].flatMap((leaseMs) =>
    [false, true].map((machineToo) => measureIdle(machineToo, leaseMs)),
  );
  process.stdout.write(`${cases.map((each) => JSON.stringify(each)).join('\n')}\n`);
}
