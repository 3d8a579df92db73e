import test from 'ava';

import { LossSummary } from '../../report/LossSummary.js';

const OBJECTIVE_MS = 300;

function summarizeLosses(texts: Iterable<string>): string[] {
  const summary = new LossSummary();
  for (const text of texts) summary.add(text);
  return summary.toLines();
}

function line(at: number, event: string, fields: Record<string, unknown>): string {
  const time = new Date(Date.UTC(2026, 0, 1) + at).toISOString();
  return `edge-1 ${JSON.stringify({ time, vm: 'vm-1', event, ...fields })}`;
}

function answer(at: number, tookMs: number, changes: Record<string, unknown> = {}): string {
  return line(at, 'request.answered', {
    status: 200,
    route: 'lookup',
    tookMs,
    objectiveMs: OBJECTIVE_MS,
    sinceFirstMs: 0,
    targetMs: 150,
    expectedMs: 140,
    sendings: 1,
    ...changes,
  });
}

test('lost requests are listed by reason, route and second', (t) => {
  t.snapshot(
    summarizeLosses([
      answer(100, 160),
      answer(200, 420),
      answer(1_200, 400, { targetMs: 390 }),
      answer(1_300, 400, { targetMs: 390, expectedMs: 380 }),
      answer(1_400, 200, { sinceFirstMs: 600 }),
      answer(1_500, 500, { sendings: 2 }),
      answer(1_600, 100, { status: 500 }),
      line(2_100, 'request.refused', { reason: 'overloaded', route: 'lookup', tookMs: 180 }),
      line(2_200, 'request.refused', { reason: 'overloaded', route: 'lookup', tookMs: 200 }),
      line(2_300, 'request.refused', { reason: 'noRoute', status: 404, leftOut: 3 }),
      line(2_400, 'request.failed', { reason: 'timedOut', route: 'report', tookMs: 1_200 }),
      line(2_500, 'request.callerLeft', { route: 'report', tookMs: 40 }),
      'not a line of a gateway',
    ]),
  );
});

test('the summary of a log without requests is empty', (t) => {
  t.deepEqual(summarizeLosses(['', line(0, 'process.started', {})]), []);
});

test('VMs that lost significantly more requests than the others are listed', (t) => {
  // One of 40 VMs reaches no target and refuses half of its requests. In the totals of all VMs this is
  // only a small share, which hides that one VM causes it.
  const logs = Array.from({ length: 40 }, (_, vm) =>
    Array.from({ length: 50 }, (_unused, i) => {
      const isLost = vm === 7 ? i < 25 : i === 0;
      const text = isLost
        ? line(i * 100, 'request.refused', { reason: 'noTarget', route: 'lookup', tookMs: 1 })
        : answer(i * 100, 160);
      return text.replace('"vm":"vm-1"', `"vm":"vm-${vm}"`);
    }),
  ).flat();
  t.deepEqual(summarizeLosses(logs).slice(-2), [
    '  lost   tries  VM                        most frequent reason and route',
    '    25      50  vm-7                      noTarget lookup (25)',
  ]);
});
