import test from 'ava';

import { LimitView } from '../../limits/index.js';

const TARGET = { target: 't-1', bornAt: 1 };

function report(view: LimitView, now: number, perSecond: number | undefined, ageMs = 0) {
  return view.applyReport({ ...TARGET, perSecond, ageMs }, now);
}

test('the latest report of a limit applies, whichever VM it came from', (t) => {
  const view = new LimitView();
  t.is(report(view, 1_000, 6), 'named');
  t.is(report(view, 1_500, 6), 'confirmed');
  t.is(report(view, 2_000, 1.3), 'named');
  t.is(report(view, 2_100, 6, 500), undefined);
  t.is(view.getAllowedRate(TARGET, 2_200), 1.3);
  t.is(view.getAllowedRate({ ...TARGET, bornAt: 2 }, 2_200), undefined);
});

// A flood of requests at the end of a limit could overload the target again.
test('the allowed rate doubles after a limit has ended, until the limit is removed', (t) => {
  const view = new LimitView();
  report(view, 0, 1.5);
  t.is(report(view, 5_000, undefined), 'ended');
  t.deepEqual(
    [5_000, 5_500, 6_500, 8_000, 8_001].map((now) => view.getAllowedRate(TARGET, now)),
    [1.5, 3, 12, 96, undefined],
  );
  t.is(view.size, 0);
});

// Some targets advertise their limit in only part of their answers, or to only some VMs.
test('an answer without a limit does not end one that another answer advertised recently', (t) => {
  const view = new LimitView();
  report(view, 0, 1.3);
  t.is(report(view, 1_900, undefined), undefined);
  t.is(view.getAllowedRate(TARGET, 1_900), 1.3);
  report(view, 5_000, undefined);
  t.is(report(view, 6_000, 1.3), 'named');
  t.is(view.getAllowedRate(TARGET, 7_000), 1.3);
});

test('a report from before the end of a limit does not restore it', (t) => {
  const view = new LimitView();
  report(view, 0, 1.3);
  report(view, 9_000, undefined);
  t.is(report(view, 9_500, 1.3, 6_000), undefined);
  t.true((view.getAllowedRate(TARGET, 10_000) ?? 0) > 1.3);
});

test('a limit of zero still allows an occasional request, so that its end is noticed', (t) => {
  const view = new LimitView();
  report(view, 0, 0);
  t.is(view.getAllowedRate(TARGET, 100), 0.1);
});

test('a limit that no answer confirms is removed', (t) => {
  const view = new LimitView();
  report(view, 0, 1.3);
  t.is(view.getAllowedRate(TARGET, 119_000), 1.3);
  t.is(view.getAllowedRate(TARGET, 121_000), undefined);
});
