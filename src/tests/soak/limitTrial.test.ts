import test from 'ava';

import { runLimitTrial } from '../../soak/runLimitTrial.js';

// Gateways that ignore a limit, or each apply the whole limit, together exceed it several times.
test('all gateways together stay within the limit that a target advertises', async (t) => {
  t.timeout(60_000);
  const { worst, lost } = await runLimitTrial({
    gateways: 4,
    limited: 2,
    perSecond: 1.3,
    forMs: 10_000,
  });
  t.deepEqual(
    worst.filter(({ got, allowed }) => got > allowed),
    [],
  );
  t.is(lost, 0);
});
