import test from 'ava';

import { dividePropagation } from '../../fleet/propagation.js';
import { StandbyWatch } from '../../fleet/StandbyWatch.js';

const TIMES = dividePropagation(2_000);
const CONNECTED = { connectedMs: 60_000 };

// Later than that, those that follow the VM that stands by find its data stale and ask the store too.
test('a VM that stands by is up to date before the data of others is stale', (t) => {
  const { standbyMs, checkMs, readMs, staleMs, watchWaitMs } = TIMES;
  t.true(standbyMs + checkMs + readMs <= staleMs);
  t.true(watchWaitMs + readMs < standbyMs);
});

// Each start reads all sections: a store that answers slightly too late would cost more than two watchers.
test('a VM whose source is confirmed late again and again starts to watch rarely', (t) => {
  const standby = new StandbyWatch(TIMES);
  let isWatching = false;
  let starts = 0;
  for (let now = 0; now < 300_000; now += TIMES.checkMs) {
    const peerAgeMs = now % 1_100;
    const next = standby.shouldWatch({ now, isWatching, peerAgeMs, ...CONNECTED });
    if (next && !isWatching) starts += 1;
    isWatching = next;
  }
  t.true(starts >= 1 && starts <= 12, `${starts} starts`);
});

// At each start of a fleet both watchers would read all pages of the targets.
test('a VM that has just started waits for its source, but no longer than the grace', (t) => {
  const standby = new StandbyWatch(TIMES);
  const inputs = { isWatching: false, peerAgeMs: Number.POSITIVE_INFINITY };
  t.false(standby.shouldWatch({ ...inputs, now: 0, connectedMs: 100 }));
  t.true(standby.shouldWatch({ ...inputs, now: 400, connectedMs: TIMES.sourceGraceMs }));
  t.true(new StandbyWatch(TIMES).shouldWatch({ ...inputs, now: 0, connectedMs: undefined }));
});
