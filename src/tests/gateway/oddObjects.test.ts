import test from 'ava';

import { putTarget } from '../../platform/standIn/index.js';
import { makeTarget } from '../balancing/scene.js';
import { GatewayHarness } from './GatewayHarness.js';

// Guards against an object that stands for the configuration, as it is of the same kind.
test('an object beside the configuration leaves it in force, also at a start', async (t) => {
  const harness = await GatewayHarness.start();
  t.teardown(() => harness.stop());
  for (const name of ['a-second', 'z-second']) {
    harness.store.put('config', name, harness.store.getSpec('config', 'main'));
    harness.store.put('config', `${name}-odd`, { version: 'r9' });
  }
  const ports = await harness.startOther(harness.store.address);
  // The gateway that runs already hears of the objects by its watch.
  await harness.pause(1_000);
  harness.store.remove('config', 'z-second');
  await harness.pause(500);
  t.true(harness.gateway.isReady);
  for (const [i, port] of [harness.ports[0], ports[0]].entries()) {
    const caller = await harness.connect(port);
    caller.sendRequests(`r-${i}`);
    await harness.waitForStarted(i + 1);
    harness.release(`r-${i}`);
    await harness.waitUntil(() => caller.received.includes('200 OK'));
  }
  t.deepEqual(harness.startedIds, ['r-0', 'r-1']);
});

const INFO = { service: 'horaires', version: 'v1', zone: 'quai', max_concurrency: 64 };
const STATUS = { state: 'ready', sequence: 1, warmup_left: '0s' };
const ODD_ADDRESS = '127.0.0.1:70000';
const ODD_VM = { name: 'vm-9', zone: 'quai', callers: ODD_ADDRESS, peers: ODD_ADDRESS };

/** Objects of another writer: kind, name, content and status. */
const ODD_OBJECTS: readonly (readonly [string, string, unknown, unknown])[] = [
  ['servers', 'o-1', { address: ODD_ADDRESS, info: INFO }, STATUS],
  ['servers', 'o-2', { address: `127.0.0.1:${'9'.repeat(40)}`, info: INFO }, STATUS],
  ['servers', 'o-3', { address: '127.0.0.1:9', info: null }, 7],
  ['servers', 'o\r\n4', { address: '127.0.0.1:9', info: INFO }, STATUS],
  ['servers', '__proto__', null, null],
  ['config', '__proto__', { version: `r${'9'.repeat(400)}` }, null],
  ['entry-vms', 'o-1', { vms: [ODD_VM, null, 7] }, null],
  ['entry-vms', 'o-2', { vms: 'none' }, null],
  ['evacuations', 'constructor', [], 7],
  ['rollouts', 'constructor', { service: '__proto__', duration: `${'9'.repeat(400)}s` }, 7],
];

// Guards against requests and changes that are lost among objects that other writers have left.
test('odd objects of each kind leave what is sound in force, also at a start', async (t) => {
  const harness = await GatewayHarness.start();
  t.teardown(() => harness.stop());
  for (const object of ODD_OBJECTS) harness.store.put(...object);
  const ports = await harness.startOther(harness.store.address);
  // A sound target that nothing listens for is known, and the first one is used.
  putTarget(harness.store, makeTarget('t-2', { address: '127.0.0.1:9' }));
  const { targets } = harness.gateway.state;
  await harness.waitUntil(() => targets.has('t-2'));
  t.deepEqual([...targets.keys()], ['t-1', 't-2']);
  const callers = await Promise.all(
    [harness.ports[0], ports[0]].map((port) => harness.connect(port)),
  );
  for (const [i, caller] of callers.entries()) caller.sendRequests(`r-${i}`, `s-${i}`);
  await harness.waitForStarted(4);
  for (const id of harness.startedIds) harness.release(id);
  await harness.waitUntil(() => callers.every(({ statuses }) => statuses.length === 2));
  t.deepEqual(
    harness.logLines.filter(({ event }) => event === 'effect.failed' || event === 'event.failed'),
    [],
  );
});
