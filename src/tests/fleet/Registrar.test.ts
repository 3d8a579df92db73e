import test from 'ava';

import type { VmRoster } from '../../balancing/index.js';
import type { FleetStore } from '../../fleet/FleetStore.js';
import { StoreCallError } from '../../fleet/FleetStore.js';
import { FleetView } from '../../fleet/FleetView.js';
import { Registrar } from '../../fleet/Registrar.js';
import { EventLog } from '../../logging/EventLog.js';
import { VirtualClock } from '../../proof/VirtualClock.js';
import { at } from './at.js';

function makeVm(name: string) {
  return { name, zone: 'quai', callers: '10.0.0.1:80', peers: '10.0.0.1:90', linkMbps: 14 };
}

function makeRegistrar() {
  const clock = new VirtualClock();
  const view = new FleetView(clock);
  const announced: string[] = [];
  const store: FleetStore = {
    list: () => Promise.reject(new StoreCallError('unavailable', 'away')),
    watch: () => Promise.reject(new StoreCallError('unavailable', 'away')),
    announce: (_announcer: string, { vms }: VmRoster) => {
      announced.push(vms.map(({ name }) => name).join(' '));
      return Promise.resolve();
    },
    writeRolloutState: () => Promise.reject(new StoreCallError('unavailable', 'away')),
  };
  const log = new EventLog('vm-1', {
    write: (_text, done) => done(),
    now: () => clock.now(),
    wallNow: () => 0,
  });
  const registrar = new Registrar({ self: makeVm('vm-1'), store, view, clock, log });
  return { clock, view, announced, registrar };
}

test('VMs that ask within half a second are announced by one call', (t) => {
  const { clock, announced, registrar } = makeRegistrar();
  registrar.register(makeVm('vm-2'));
  clock.runUntil(clock.now() + 300);
  registrar.register(makeVm('vm-3'));
  clock.runUntil(clock.now() + 1_000);
  t.deepEqual(announced, ['vm-1 vm-2 vm-3']);
});

test('a VM that has restarted still announces the VMs that it announced before', (t) => {
  // A VM that announced a hundred others restarts, and a late one asks it too. If its new
  // announcement lacked the others, each of them would be unknown until it has announced itself.
  const { clock, view, announced, registrar } = makeRegistrar();
  view.apply({
    section: 'vms',
    items: [{ name: 'vm-1', value: { vms: [makeVm('vm-1'), makeVm('vm-2')] } }],
    position: at(4),
    isWhole: true,
  });
  registrar.register(makeVm('vm-3'));
  clock.runUntil(clock.now() + 1_000);
  t.deepEqual(announced, ['vm-1 vm-2 vm-3']);
});
