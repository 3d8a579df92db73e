import test from 'ava';

import { runQuotaTrial } from '../../soak/runQuotaTrial.js';

// Gateways that are cut off cannot ask the others for permits. If they then serve by a limit of their
// own, all together exceed the bound; if they still got permits, the cut would not work.
test('an organisation stays within its bound while two gateways are cut off', async (t) => {
  t.timeout(90_000);
  const options = { gateways: 6, cut: [0, 1], forMs: 10_000, perSecond: 60 };
  const { worst, servedAtCut, servedElsewhere, statuses } = await runQuotaTrial(options);
  t.true(worst.got <= worst.allowed, `${worst.got} of ${worst.allowed}`);
  t.true(servedElsewhere > 2, `${servedElsewhere} a second`);
  t.true(servedAtCut < servedElsewhere, `${servedAtCut} a second`);
  t.is(statuses[0] ?? 0, 0);
});
