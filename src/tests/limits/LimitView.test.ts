import test from 'ava';

import { LimitView } from '../../limits/index.js';

const TARGET = { target: 't-1', bornAt: 1 };

function take(book: LimitView, now: number, perSecond: number | undefined, ageMs = 0) {
  return book.take({ ...TARGET, perSecond, ageMs }, now);
}

test('the latest report of a limit holds, whoever heard it', (t) => {
  const book = new LimitView();
  t.is(take(book, 1_000, 6), 'named');
  t.is(take(book, 1_500, 6), 'confirmed');
  t.is(take(book, 2_000, 1.3), 'named');
  t.is(take(book, 2_100, 6, 500), undefined);
  t.is(book.getRate(TARGET, 2_200), 1.3);
  t.is(book.getRate({ ...TARGET, bornAt: 2 }, 2_200), undefined);
});

// A flood at the end of a limit would bring the target down again.
test('a limit that has ended grows until it is gone', (t) => {
  const book = new LimitView();
  take(book, 0, 1.5);
  t.is(take(book, 5_000, undefined), 'ended');
  t.deepEqual(
    [5_000, 5_500, 6_500, 8_000, 8_001].map((now) => book.getRate(TARGET, now)),
    [1.5, 3, 12, 96, undefined],
  );
  t.is(book.size, 0);
});

// Some targets name their limit in a part of their answers, or to some VMs only.
test('an answer without a limit ends none that another answer named a moment ago', (t) => {
  const book = new LimitView();
  take(book, 0, 1.3);
  t.is(take(book, 1_900, undefined), undefined);
  t.is(book.getRate(TARGET, 1_900), 1.3);
  take(book, 5_000, undefined);
  t.is(take(book, 6_000, 1.3), 'named');
  t.is(book.getRate(TARGET, 7_000), 1.3);
});

test('a report from before the end of a limit does not bring it back', (t) => {
  const book = new LimitView();
  take(book, 0, 1.3);
  take(book, 9_000, undefined);
  t.is(take(book, 9_500, 1.3, 6_000), undefined);
  t.true((book.getRate(TARGET, 10_000) ?? 0) > 1.3);
});

test('a limit of nothing lets a request through at times, so that its end is seen', (t) => {
  const book = new LimitView();
  take(book, 0, 0);
  t.is(book.getRate(TARGET, 100), 0.1);
});

test('a limit that nobody confirms is forgotten', (t) => {
  const book = new LimitView();
  take(book, 0, 1.3);
  t.is(book.getRate(TARGET, 119_000), 1.3);
  t.is(book.getRate(TARGET, 121_000), undefined);
});
