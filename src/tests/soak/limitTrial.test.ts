import test from 'ava';

import { runLimitTrial } from '../../soak/runLimitTrial.js';

// Gateways that each keep to a limit alone, or do not know it, send several times what it allows.
test('gateways together send no more to a target than it says it takes', async (t) => {
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
