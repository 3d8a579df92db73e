import test from 'ava';

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
