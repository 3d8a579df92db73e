import test from 'ava';

import { explainRequest } from '../../report/explainRequest.js';

function line(vm: string, at: number, event: string, fields: Record<string, unknown>): string {
  const time = new Date(Date.UTC(2026, 0, 1) + at).toISOString();
  return JSON.stringify({ time, vm, event, ...fields });
}

const SENT = {
  running: 1,
  waiting: 0,
  slowdown: 1,
  readingAgeMs: 2,
  expectedMs: 230,
  costMs: 230,
};

test('a failed request is explained from its attempt to its answer', (t) => {
  // The target crashed while it ran the request, and the caller received 502.
  t.snapshot(
    explainRequest(
      [
        line('vm-1', 0, 'config.adopted', { version: 7, routes: 19 }),
        line('vm-1', 900, 'target.dead', { target: 't-9', times: 1 }),
        line('vm-1', 1_000, 'request.sent', { id: 'r-1', attempt: 4, target: 't-2', ...SENT }),
        line('vm-1', 1_010, 'request.sent', { id: 'r-2', attempt: 5, target: 't-2', ...SENT }),
        line('vm-1', 1_120, 'target.dead', { target: 't-2', times: 1 }),
        line('vm-1', 1_130, 'attempt.failed', {
          id: 'r-1',
          target: 't-2',
          end: 'broken',
          tookMs: 130,
        }),
        line('vm-1', 1_130, 'request.failed', {
          id: 'r-1',
          status: 502,
          reason: 'targetFailed',
          tookMs: 134,
          rounds: 1,
          sinceFirstMs: 0,
        }),
      ],
      'r-1',
    ),
  );
});

test('a refusal is explained with the VM state, the rounds of probes and the retry time', (t) => {
  t.snapshot(
    explainRequest(
      [
        line('vm-3', 0, 'fleet.sourceLost', {
          source: '10.0.0.1:7200',
          reason: 'stale',
          ageMs: 1_300,
        }),
        line('vm-3', 500, 'request.refused', {
          id: 'r-1',
          status: 503,
          reason: 'overloaded',
          tookMs: 410,
          rounds: 9,
          sinceFirstMs: 0,
          retryAfterMs: 700,
        }),
      ],
      'r-1',
    ),
  );
});

test('a refusal after a sending is explained with its evidence, and a spoilt answer with its fault', (t) => {
  const evidence =
    'attempt=5 target=t-3 bornAt=1 end=rejected status=503 named=this tookMs=4 connection=kept ' +
    'requests=3 probes=2 ageMs=812 sentBytes=431';
  t.snapshot(
    explainRequest(
      [
        line('vm-1', 130, 'attempt.failed', {
          id: 'r-1',
          target: 't-2',
          end: 'spoilt',
          check: 'otherId',
          status: 503,
          otherId: 'r-0',
          tookMs: 30,
        }),
        line('vm-2', 140, 'request.refused', {
          id: 'r-1',
          status: 503,
          reason: 'rejected',
          tookMs: 12,
          evidence: [evidence],
          retryAfterMs: 700,
        }),
      ],
      'r-1',
    ),
  );
});

test('lines are grouped by VM and not sorted by time, since clocks differ', (t) => {
  // The clock of one VM is a day behind. Sorted by time, its last lines would appear first.
  const lines = explainRequest(
    [
      line('vm-1', 5_000, 'request.callerLeft', { id: 'r-1', tookMs: 70 }),
      line('vm-2', -86_400_000, 'request.sent', { id: 'r-1', target: 't-1', ...SENT }),
      line('vm-2', -86_399_000, 'request.answered', {
        id: 'r-1',
        status: 200,
        target: 't-1',
        tookMs: 100,
        expectedMs: 90,
      }),
    ],
    'r-1',
  );
  t.deepEqual(
    lines.map((text) => text.slice(0, 21)),
    [
      'request r-1 at vm-1',
      '  request  2026-01-01',
      'request r-1 at vm-2',
      '  request  2025-12-31',
      '  request  2025-12-31',
    ],
  );
});

test('the state of an earlier process is not shown for a request to the next one', (t) => {
  // A VM is restarted and refuses a request because it has no configuration yet. Shown with the
  // configuration of the previous process, the refusal would look like a wrong decision.
  t.snapshot(
    explainRequest(
      [
        line('vm-1', 0, 'process.started', { name: 'vm-1' }),
        line('vm-1', 100, 'config.adopted', { version: 7, routes: 19 }),
        line('vm-1', 200, 'fleet.sourceLost', { source: '10.0.0.2:7000', reason: 'stale' }),
        line('vm-1', 9_000, 'process.started', { name: 'vm-1' }),
        line('vm-1', 9_010, 'fleet.following', { source: '10.0.0.3:7000' }),
        line('vm-1', 9_020, 'request.refused', {
          id: 'r-1',
          status: 503,
          reason: 'notConfigured',
          retryAfterMs: 300,
        }),
      ],
      'r-1',
    ),
  );
});

test('lines that a gateway did not write are ignored', (t) => {
  t.deepEqual(explainRequest(['', 'hello', '{"half', '{"time":1}', '12.3 vm-1 {}'], 'r-1'), []);
});

test('a refusal because of pauses names the targets that asked for them', (t) => {
  const pause = (target: string, service: string, forMs: number) => ({
    target,
    service,
    forMs,
    source: 'answer',
  });
  t.snapshot(
    explainRequest(
      [
        line('vm-1', 0, 'target.paused', pause('t-1', 'horaires', 30_000)),
        line('vm-1', 100, 'target.paused', pause('t-2', 'horaires', 1_000)),
        line('vm-1', 19_000, 'target.paused', pause('t-2', 'horaires', 3_000)),
        line('vm-1', 19_000, 'target.paused', pause('t-9', 'plongee', 3_000)),
        line('vm-1', 20_000, 'request.refused', {
          id: 'r-1',
          status: 503,
          reason: 'paused',
          service: 'horaires',
          tookMs: 2,
          rounds: 1,
          sinceFirstMs: 0,
          retryAfterMs: 2_400,
        }),
      ],
      'r-1',
    ),
  );
});

// Without the restore, a request by an older configuration looks like a wrong decision.
test('a request is explained with the restores of the store before it', (t) => {
  const restore = { before: 1, epoch: 2, revision: 7, known: 49 };
  t.snapshot(
    explainRequest(
      [
        line('vm-1', 100, 'config.adopted', { version: 54, routes: 19 }),
        line('vm-1', 200, 'store.sectionRestored', {
          section: 'configuration',
          ...restore,
          missing: 0,
          names: [],
        }),
        line('vm-1', 210, 'store.sectionRestored', {
          section: 'targets',
          ...restore,
          missing: 2,
          names: ['t-1', 't-2'],
        }),
        line('vm-1', 250, 'store.outdated', {
          section: 'targets',
          epoch: 1,
          revision: 60,
          knownEpoch: 2,
          known: 7,
          isFromPeer: true,
          items: 1,
        }),
        line('vm-1', 2_910, 'store.missingRemoved', {
          section: 'targets',
          removed: 1,
          names: ['t-2'],
        }),
        line('vm-1', 3_000, 'request.refused', { id: 'r-1', status: 404, reason: 'noRoute' }),
      ],
      'r-1',
    ),
  );
});
