import test from 'ava';

import type { ConfigRoot, ServiceObject, VmListEntry } from '../../../core/index.js';
import { isConfigurationFresh } from '../../../core/fleet/index.js';
import { makeConfiguration, makeService } from '../fixtures.js';
import { LocalFleet } from '../LocalFleet.js';

interface Publication {
  readonly root: ConfigRoot;
  readonly services: readonly ServiceObject[];
}

function makePublication(generation: number): Publication {
  return makeConfiguration(generation, [makeService('horaires', 4), makeService('plongee', 2)]);
}

/** Writes a configuration to the store. */
function publish(fleet: LocalFleet, { root, services }: Publication): void {
  const put = (key: string, value: unknown): void => {
    const expect = fleet.store.peek(key)?.version ?? 0;
    fleet.store.call({ op: 'put', key, value, expect }, () => {});
  };
  for (const each of services) put(`config/services/${each.service.name}/${each.hash}`, each);
  put('config/root', root);
}

function getRunningGenerations(fleet: LocalFleet): number[] {
  return fleet.processes
    .filter(({ condition }) => condition === 'running')
    .map(({ state }) => state.configuration.current.generation);
}

test('an accepted configuration is in force everywhere within a second', (t) => {
  const fleet = new LocalFleet({ size: 17 });
  publish(fleet, makePublication(1));
  fleet.runFor(3_000);
  publish(fleet, makePublication(2));
  fleet.runFor(1_000);
  t.true(getRunningGenerations(fleet).every((generation) => generation === 2));
});

test('a configuration pushed to one entry VM spreads while the store is down', (t) => {
  // The store accepts a change and fails right after, so only the publisher's push remains.
  const fleet = new LocalFleet({ size: 17 });
  publish(fleet, makePublication(1));
  fleet.runFor(3_000);
  fleet.store.faults.down = 'hanging';
  const { root, services } = makePublication(2);
  fleet.dispatch(fleet.getProcess(5), { kind: 'configurationPushed', root, services });
  fleet.runFor(2_000);
  t.true(getRunningGenerations(fleet).every((generation) => generation === 2));
});

test('an earlier configuration is ignored, and a second one of a generation is logged', (t) => {
  // A message is delayed, or a write of the root bypassed the conditional update. If the earlier
  // configuration were applied, a zone that was taken out would get traffic again.
  const fleet = new LocalFleet({ size: 1 });
  publish(fleet, makePublication(3));
  fleet.runFor(1_000);
  const process = fleet.getProcess(0);
  fleet.dispatch(process, { kind: 'configurationPushed', ...makePublication(2) });
  t.is(process.state.configuration.current.generation, 3);
  const other = { ...makePublication(3).root, nonce: 'other' };
  fleet.dispatch(process, { kind: 'configurationPushed', root: other, services: [] });
  const errors = process.otherEffects.filter(
    (each) => each.kind === 'log' && each.level === 'error',
  );
  t.is(errors.length, 1);
});

test('only generationNeverBack prevents an earlier configuration from being applied', (t) => {
  // Shows that the check can fail: without the guard the earlier configuration is applied.
  for (const isGuarded of [true, false]) {
    const guards = isGuarded ? {} : { generationNeverBack: () => true };
    const fleet = new LocalFleet({ size: 1, guards });
    publish(fleet, makePublication(3));
    fleet.runFor(1_000);
    fleet.dispatch(fleet.getProcess(0), { kind: 'configurationPushed', ...makePublication(2) });
    t.is(fleet.getProcess(0).state.configuration.current.generation, isGuarded ? 3 : 2);
  }
});

test('an entry VM that starts during a store outage gets the configuration from peers', (t) => {
  // A VM is replaced while the store is down. It finds the others through the platform's VM list.
  const fleet = new LocalFleet({ size: 5 });
  publish(fleet, makePublication(1));
  fleet.runFor(3_000);
  fleet.store.faults.down = 'refusing';
  const late = fleet.start(5);
  const vms: VmListEntry[] = [0, 1, 2, 3, 4, 5].map((vm) => ({
    name: `vm${vm}`,
    zone: 'a',
    ip: `10.0.0.${vm}`,
    state: 'live',
  }));
  fleet.dispatch(late, { kind: 'vmListRead', vms });
  fleet.runFor(4_000);
  t.is(late.state.configuration.current.generation, 1);
  t.true(isConfigurationFresh(late.state, fleet.getTime(late)));
  t.is(late.state.fleet.granted.size, 0);
});

test('no configuration becomes stale at the start or without faults', (t) => {
  // A process without a confirmation for two seconds refuses all work. That must not happen in
  // normal operation.
  const fleet = new LocalFleet({ size: 17 });
  publish(fleet, makePublication(1));
  fleet.runFor(2_000);
  let stale = 0;
  for (let i = 0; i < 100; i++) {
    fleet.runFor(100);
    stale += fleet.processes.filter(
      (each) => !isConfigurationFresh(each.state, fleet.getTime(each)),
    ).length;
  }
  t.is(stale, 0);
});

test('service objects that the root no longer names are dropped', (t) => {
  const fleet = new LocalFleet({ size: 2 });
  for (let generation = 1; generation <= 5; generation++) {
    publish(fleet, makePublication(generation));
    fleet.runFor(1_500);
  }
  t.true(fleet.processes.every(({ state }) => state.configuration.objects.size === 2));
});
