import test from 'ava';

import type { VmAnnouncement } from '../../balancing/index.js';
import type { FleetStore } from '../../fleet/FleetStore.js';
import { SECTIONS_WITHOUT_ROLLOUTS } from '../../fleet/FleetStore.js';
import { FleetSync } from '../../fleet/FleetSync.js';
import { FleetView } from '../../fleet/FleetView.js';
import { dividePropagation } from '../../fleet/propagation.js';
import { EventLog } from '../../logging/EventLog.js';
import { findPorts } from '../../soak/findPorts.js';
import { sleep, SystemClock, TimerService } from '../../timing/index.js';
import { at } from './at.js';

const HOST = '127.0.0.1';
const WAIT_MS = 600;

const fail = (): Promise<never> => Promise.reject(new Error('the store is away'));

const STORE: FleetStore = { list: fail, watch: fail, announce: fail, writeRolloutState: fail };

// VMs that take no connection refuse at once: without a pause, a VM connects thousands of times a second.
test('a VM whose sources refuse its connections while the store is away does not connect without a pause', async (t) => {
  const [port, ...others] = await findPorts(4);
  const makeVm = (name: string, peerPort: number): VmAnnouncement => ({
    name,
    zone: 'quai',
    callers: `${HOST}:1`,
    peers: `${HOST}:${peerPort}`,
    linkMbps: 100,
  });
  const self = makeVm('vm-1', port);
  const vms = [self, ...others.map((each, i) => makeVm(`vm-${i + 2}`, each))];
  const clock = new SystemClock();
  const lines: string[] = [];
  const write = (text: string, done: () => void): void => {
    lines.push(...text.split('\n'));
    done();
  };
  const log = new EventLog('vm-1', { write, now: () => 0, wallNow: () => 0 });
  const view = new FleetView(clock, self.name);
  view.apply({
    section: 'vms',
    items: [{ name: 'vm-1', value: { vms } }],
    position: at(1),
    isWhole: true,
  });
  const propagation = dividePropagation(2_000);
  const sync = new FleetSync({
    self,
    listen: { host: HOST, port },
    seeds: [],
    store: STORE,
    view,
    clock,
    log,
    sections: SECTIONS_WITHOUT_ROLLOUTS,
    propagation,
    random: Math.random,
  });
  const timers = new TimerService(clock);
  sync.start(timers);
  sync.begin();
  await sleep(clock, WAIT_MS);
  timers.stop();
  sync.stop();
  const connections = lines.filter((line) => line.includes('fleet.following')).length;
  const most = others.length + 2 * Math.ceil(WAIT_MS / propagation.checkMs);
  t.true(connections > 0 && connections <= most, `${connections} connections, at most ${most}`);
});
