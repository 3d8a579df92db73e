import test from 'ava';

import { GatewayHarness } from './GatewayHarness.js';

// A second signal to a process that is stopping ended it at once, with its open requests.
test('a planned stop that is asked for again still completes open requests', async (t) => {
  const harness = await GatewayHarness.start();
  const caller = await harness.connect();
  caller.sendRequests('r-1');
  await harness.waitForStarted(1);
  const order: string[] = [];
  const stops = [1, 2].map((i) => harness.gateway.stop().then(() => order.push(`stopped ${i}`)));
  await harness.pause(300);
  harness.release('r-1');
  await harness.waitUntil(() => caller.statuses.length === 1);
  order.push('answered');
  await Promise.all(stops);
  t.deepEqual(order, ['answered', 'stopped 1', 'stopped 2']);
  await harness.stop();
});
