import test from 'ava';

import type { ServiceLevelHistory } from '../../report/index.js';
import {
  computeBurn,
  readBurnReport,
  renderHtml,
  renderText,
  ServiceLevelRecorder,
  ServiceLevelStore,
} from '../../report/index.js';
import { Publisher } from '../../publish/index.js';
import { makeService } from '../core/fixtures.js';
import { StoreFake } from '../StoreFake.js';

const NOW = Date.parse('2026-03-05T10:30:30Z');
const MINUTE_MS = 60_000;
const SERVICE = makeService('bei', 1);

/** Creates a history of 100 requests per minute for three days; `bad` gives the refused ones. */
function makeHistory(bad: (minutesAgo: number) => number): ServiceLevelHistory {
  const hours: Record<
    string,
    Record<string, Record<string, [number, number, number, number]>>
  > = {};
  for (let minutesAgo = 0; minutesAgo < 3 * 24 * 60; minutesAgo += 1) {
    const at = NOW - minutesAgo * MINUTE_MS;
    const hour = new Date(at).toISOString().slice(0, 13);
    hours[hour] ??= {};
    const refused = bad(minutesAgo);
    hours[hour][new Date(at).getUTCMinutes()] = { 'bei|a': [100 - refused, 0, refused, 0] };
  }
  return { hours, days: {} };
}

test('a burn rate of 1 exhausts the budget exactly at the end of its period', (t) => {
  const { windows, budgetLeft, alarm } = computeBurn(
    SERVICE,
    makeHistory(() => 1),
    NOW,
  );
  t.true(
    windows.every(({ short, long }) => Math.abs(short - 1) < 1e-9 && Math.abs(long - 1) < 1e-9),
  );
  t.true(Math.abs(budgetLeft) < 1e-9);
  t.is(alarm, 'ticket');
});

test('an alarm needs both windows: neither a short burst nor a past outage fires it', (t) => {
  const burst = computeBurn(
    SERVICE,
    makeHistory((ago) => (ago < 2 ? 100 : 0)),
    NOW,
  );
  t.is(burst.alarm, 'none');
  t.true(burst.windows[0].short >= 14.4);
  const past = computeBurn(
    SERVICE,
    makeHistory((ago) => (ago > 30 && ago < 90 ? 100 : 0)),
    NOW,
  );
  t.true(past.windows[0].long >= 14.4);
  t.is(past.windows[0].short, 0);
  t.false(past.windows[0].firing);
  const lasting = computeBurn(
    SERVICE,
    makeHistory((ago) => (ago < 20 ? 100 : 0)),
    NOW,
  );
  t.is(lasting.alarm, 'page');
});

test('daily totals count towards the budget, except those before its period', (t) => {
  const days = {
    '2026-02-20': { 'bei|a': [0, 0, 0, 200] as [number, number, number, number] },
    '2026-01-20': { 'bei|a': [0, 0, 0, 900] as [number, number, number, number] },
  };
  const { requests, bad } = computeBurn(SERVICE, { hours: {}, days }, NOW);
  t.deepEqual([requests, bad], [200, 200]);
});

test('the report lists the largest causes of burn from the counters in the store', async (t) => {
  const store = new StoreFake();
  const retry = { attempts: 1, wait: () => Promise.resolve() };
  const services = [makeService('bei', 2), makeService('safari', 1)];
  const zones = [{ name: 'a', region: 'north', state: 'in' as const }];
  await new Publisher({ store, ...retry, createNonce: () => 'n' }).publish({ zones, services });
  const recorder = new ServiceLevelRecorder({
    getObjective: (name) => services.find((service) => service.name === name)?.objective,
    wallNow: () => NOW,
  });
  for (let i = 0; i < 200; i += 1) {
    const target = `bei/t${i % 2}`;
    const latencyMs = i % 10 === 1 ? 500 : 20;
    recorder.record({ service: 'bei', zone: 'a', target, outcome: 'answered', latencyMs });
  }
  recorder.record({ service: 'bei', zone: 'b', outcome: 'refused', latencyMs: 1 });
  await new ServiceLevelStore(store, 'vm1#1').flush(recorder, NOW);
  const report = await readBurnReport(store, NOW);
  t.snapshot(renderText(report));
  const html = await renderHtml(report);
  t.is(html.match(/<svg /g)?.length, 4);
  t.false(/<script|src=|@import|url\((?!#)/.test(html), 'the page loads nothing');
  t.regex(html, /slow at bei\/t1 in zone a: 20 \(95\.2%\)/);
});
