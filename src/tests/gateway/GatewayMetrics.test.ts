import test from 'ava';

import { GatewayMetrics } from '../../gateway/GatewayMetrics.js';

test('metrics include target standings, store age and counts from before the first scrape', async (t) => {
  const metrics = new GatewayMetrics({
    getStoreCallCounts: () => new Map([['GET targets', 3]]),
    getProbeCount: () => 7,
    getTargetCounts: () =>
      new Map([
        [
          'horaires',
          { draining: 1, zoneOut: 0, dead: 2, paused: 3, cold: 0, limited: 1, usable: 9 },
        ],
      ]),
    getLongestPauses: () => new Map([['horaires', 2_500]]),
    getRolloutFigures: () =>
      new Map([
        [
          'horaires',
          {
            version: 'v2',
            stage: 'trial' as const,
            share: 0.08,
            counts: { old: { answers: 90, bad: 2 }, new: { answers: 8, bad: 1 } },
          },
        ],
      ]),
    getLearntCurves: () =>
      new Map([
        [
          'horaires',
          {
            levels: [1, 1, 1, 1, 1, 1, 1.7, 2.2],
            slowdownWeight: 0.7,
            coldSlowdown: 2,
            answers: 90,
          },
        ],
      ]),
    getQuotaFigures: () => new Map(),
    getAdmissionFigures: () => new Map([['horaires', { level: 'raised', reservedSlots: 0.5 }]]),
    now: () => 0,
    getStoreAgeMs: () => 250,
    getBodyMemory: () => ({ reservedBytes: 41, limitBytes: 150 }),
    getOpenRequestCount: () => 4,
    getFeedMessageCount: () => 32,
  });
  metrics.record({
    kind: 'log',
    event: 'request.answered',
    fields: { route: 'r-1', tookMs: 120 },
  });
  metrics.record({ kind: 'log', event: 'request.refused', fields: { reason: 'overloaded' } });
  const evidence = ['rejected', 'unsent'] as const;
  for (const kinds of [evidence, evidence.slice(0, 1)]) {
    const fields = { reason: 'rejected' };
    metrics.record({ kind: 'log', event: 'request.refused', fields, evidence: kinds });
  }
  const { text } = await metrics.read();
  t.snapshot(text.split('\n').filter((line) => line !== '' && !line.startsWith('#')));
});

test('the store age is infinite before the first read, so that an alarm on it fires', async (t) => {
  const metrics = new GatewayMetrics({
    getStoreCallCounts: () => new Map(),
    getProbeCount: () => 0,
    getTargetCounts: () => new Map(),
    getLongestPauses: () => new Map(),
    getLearntCurves: () => new Map(),
    getRolloutFigures: () => new Map(),
    getAdmissionFigures: () => new Map(),
    getQuotaFigures: () => new Map(),
    now: () => 0,
    getStoreAgeMs: () => Number.POSITIVE_INFINITY,
    getBodyMemory: () => ({ reservedBytes: 41, limitBytes: 150 }),
    getOpenRequestCount: () => 0,
    getFeedMessageCount: () => 0,
  });
  const { text } = await metrics.read();
  t.regex(text, /^masticlink_gateway_store_age_seconds \+Inf$/m);
});

test('only the 20 busiest organisations have time series, so that thousands do not fill the scrape', async (t) => {
  let now = 0;
  let granted = 100;
  const metrics = new GatewayMetrics({
    getStoreCallCounts: () => new Map(),
    getProbeCount: () => 0,
    getTargetCounts: () => new Map(),
    getLongestPauses: () => new Map(),
    getRolloutFigures: () => new Map(),
    getLearntCurves: () => new Map(),
    getAdmissionFigures: () => new Map(),
    getQuotaFigures: () =>
      new Map(
        Array.from({ length: 30 }, (_, i) => [
          `o-${i}`,
          { granted: granted + i, refused: i, perSecond: 50 },
        ]),
      ),
    now: () => now,
    getStoreAgeMs: () => 0,
    getBodyMemory: () => ({ reservedBytes: 41, limitBytes: 150 }),
    getOpenRequestCount: () => 0,
    getFeedMessageCount: () => 0,
  });
  await metrics.read();
  now = 10_000;
  granted = 200;
  const { text } = await metrics.read();
  const lines = text.split('\n').filter((line) => line.startsWith('masticlink_gateway_quota'));
  t.is(lines.length, 20 * 4 + 2);
  t.true(lines.includes('masticlink_gateway_quota_use{organisation="o-29"} 0.2'));
  t.true(
    lines.includes(
      'masticlink_gateway_quota_requests_total{organisation="other",outcome="granted"} 2045',
    ),
  );
});
