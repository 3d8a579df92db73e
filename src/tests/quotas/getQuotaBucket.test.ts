import test from 'ava';

import { DEFAULT_QUOTA_BOUND, getQuotaBucket } from '../../quotas/index.js';

const BOUND = DEFAULT_QUOTA_BOUND;

// Guards against a choice of issuers whose buckets together exceed the bound, or hold no permit.
test('buckets of all issuers that may be active stay within the bound and hold the burst', (t) => {
  for (const vms of [1, 2, 3, 5, 10, 25, 98, 224]) {
    for (const ratePerSecond of [0.2, 1, 8, 40, 200, 1_000]) {
      for (const share of [0, 0.5, 1]) {
        const burst = ratePerSecond * share;
        const quota = { ratePerSecond, burst };
        const bucket = getQuotaBucket(quota, BOUND, vms);
        const allowed = (ratePerSecond * 5 + burst) * 1.1 + 20;
        const issued = bucket.maxIssuers * (bucket.burst + bucket.perSecond * 5);
        t.true(issued + 2 <= allowed, JSON.stringify({ vms, quota, bucket }));
        t.true(bucket.burst >= 1, JSON.stringify({ vms, quota, bucket }));
        t.true(bucket.issuers <= vms && bucket.maxIssuers <= vms);
        t.true(bucket.issuers * bucket.perSecond > ratePerSecond - 1e-9);
      }
    }
  }
});

test('the number of issuers by quota', (t) => {
  const rows = [1, 5, 20, 100, 400].map((ratePerSecond) => {
    const bucket = getQuotaBucket({ ratePerSecond, burst: ratePerSecond }, BOUND, 98);
    return `${ratePerSecond}/s: ${bucket.issuers} issuers, capacity ${bucket.burst.toFixed(1)}`;
  });
  t.snapshot(rows);
});
