import test from 'ava';

import { runCutTrial } from '../../soak/runCutTrial.js';

/** Share of requests that are served at all other times; two thirds of it are asked for. */
const MIN_SERVED_SHARE = 0.9;

// A VM that reaches no target refuses its callers for as long as the cut lasts, while others serve.
test.serial('callers of VMs that are cut off from all targets are served', async (t) => {
  t.timeout(60_000);
  const { cutOff, others, afterwards, broken } = await runCutTrial({
    gateways: 4,
    cut: [0, 1],
    mode: 'silent',
    forMs: 6_000,
  });
  t.deepEqual(broken, []);
  t.true(cutOff.servedShare >= MIN_SERVED_SHARE, JSON.stringify(cutOff));
  t.true(others.servedShare >= MIN_SERVED_SHARE, JSON.stringify(others));
  t.true(afterwards.servedShare >= MIN_SERVED_SHARE, JSON.stringify(afterwards));
});

// VMs that pass requests to each other while no VM reaches targets would hold them until they time out.
test.serial('callers are refused at once while no VM reaches a target', async (t) => {
  t.timeout(60_000);
  const { cutOff, afterwards, broken } = await runCutTrial({
    gateways: 4,
    cut: [0, 1, 2, 3],
    mode: 'silent',
    forMs: 6_000,
  });
  t.deepEqual(broken, []);
  t.true((cutOff.statuses['503'] ?? 0) >= 0.99 * cutOff.requests, JSON.stringify(cutOff));
  t.true(cutOff.medianMs < 100, JSON.stringify(cutOff));
  t.true(afterwards.servedShare >= MIN_SERVED_SHARE, JSON.stringify(afterwards));
});
