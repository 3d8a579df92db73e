import test from 'ava';

import { playQuotaLab } from '../../lab/quotaLab.js';
import { makeQuotaPlan } from '../../lab/quotaPlan.js';

// Guards against two issuers at once for one share: VMs that are cut off or killed are replaced while
// they go on issuing, and the sum must stay within the bound.
test('the bound holds while issuers are cut off and replaced, and a limit is lowered', (t) => {
  const plan = makeQuotaPlan({
    vms: 16,
    organisations: 8,
    perSecond: 150,
    surge: { organisation: 2, factor: 8, fromMs: 3_000, untilMs: 14_000 },
    cutOff: { share: 0.4, fromMs: 5_000, untilMs: 8_000 },
    killed: { fromMs: 10_000, untilMs: 11_000 },
    lowered: { organisation: 1, fromMs: 9_000, factor: 0.4 },
    countFromMs: 3_000,
    untilMs: 16_000,
  });
  const result = playQuotaLab(plan, 'permits', 3);
  t.true(result.worstExcess <= 0, `${result.worstExcess} requests over the bound`);
  t.true(result.requests > 2_000);
  t.true(result.shortfall < 0.2, `${result.shortfall} of the limits were not used`);
});

// Guards against buckets so small that organisations below their limit lose requests.
test('organisations below their limit are hardly refused, and hardly delayed', (t) => {
  const never = { fromMs: Number.POSITIVE_INFINITY, untilMs: Number.POSITIVE_INFINITY };
  const plan = makeQuotaPlan({
    vms: 40,
    organisations: 30,
    perSecond: 150,
    surge: { organisation: 0, factor: 1, ...never },
    cutOff: { share: 0, ...never },
    killed: never,
    lowered: { organisation: 0, fromMs: Number.POSITIVE_INFINITY, factor: 1 },
    countFromMs: 5_000,
    untilMs: 12_000,
  });
  const result = playQuotaLab(plan, 'permits', 5);
  t.true(result.refusedBelow < 0.005, `${result.refusedBelow} refused`);
  t.true(result.longWaitMs < 10, `${result.longWaitMs} ms`);
});
