import test from 'ava';
import fc from 'fast-check';

import type { CrashNews } from '../../crashes/index.js';
import { CRASH_LEDGER_OPTIONS } from '../../balancing/index.js';
import { CrashLedger } from '../../crashes/index.js';

const MINUTE_MS = 60_000;

function run(i: number) {
  return { target: `t-${i}`, bornAt: 1 };
}

/** Creates a ledger with crashes under request `f` at the given times. */
function makeLedger(times: readonly number[]): CrashLedger {
  const ledger = new CrashLedger(CRASH_LEDGER_OPTIONS);
  times.forEach((at, i) => ledger.recordCrash('f', run(i), at));
  return ledger;
}

test('a request is refused from the third target that crashed under it', (t) => {
  const ledger = new CrashLedger(CRASH_LEDGER_OPTIONS);
  const verdicts = [1, 2, 3].map((i) => {
    ledger.recordCrash('f', run(i), i);
    return ledger.getVerdict('f', 10);
  });
  t.deepEqual(verdicts, ['suspected', 'suspected', 'refused']);
  t.is(ledger.getVerdict('g', 10), 'clear');
  t.deepEqual(
    ledger.getCrashes('f', 10).map(({ target }) => target),
    ['t-1', 't-2', 't-3'],
  );
});

test('several connections that break at one target show one crash', (t) => {
  const ledger = new CrashLedger(CRASH_LEDGER_OPTIONS);
  t.true(ledger.recordCrash('f', run(1), 1));
  t.false(ledger.recordCrash('f', run(1), 2));
  t.true(ledger.recordCrash('f', { target: 't-1', bornAt: 2 }, 3));
  t.is(ledger.getCrashes('f', 3).length, 2);
});

// A popular request is outstanding on most targets, and so on all that crash for another reason.
test('a request that was just answered is not suspected', (t) => {
  const ledger = new CrashLedger(CRASH_LEDGER_OPTIONS);
  ledger.recordAnswer('f', 1_000);
  t.false(ledger.recordCrash('f', run(1), 1_050));
  t.true(ledger.recordCrash('f', run(1), 12_000));
  t.true(ledger.recordAnswer('f', 12_050));
  t.is(ledger.getVerdict('f', 12_060), 'clear');
});

test('what one VM knows of answers overrules what others report of crashes', (t) => {
  const ledger = new CrashLedger(CRASH_LEDGER_OPTIONS);
  ledger.recordAnswer('f', 1_000);
  const suspects = makeLedger([900, 950, 990]).getNewsToRepeat(4, 1_000);
  const told = ledger.merge(suspects, 1_000);
  t.is(ledger.getVerdict('f', 1_000), 'clear');
  t.deepEqual(
    told.suspects.map(({ fingerprint, answeredAgeMs }) => ({ fingerprint, answeredAgeMs })),
    [{ fingerprint: 'f', answeredAgeMs: 0 }],
  );
});

test('a run that answers later has not crashed, whoever says so later', (t) => {
  const ledger = makeLedger([1, 2, 3]);
  const before = ledger.getNewsToRepeat(4, 10);
  t.true(ledger.recordAlive(run(1), 10));
  t.is(ledger.getVerdict('f', 10), 'suspected');
  ledger.merge(before, 10);
  t.is(ledger.getVerdict('f', 10), 'suspected');
});

// A target that starts again under its id answers until it has registered its new start.
test('an answer long after a crash takes it back at no VM', (t) => {
  const ledger = makeLedger([0, 0, 0]);
  t.false(ledger.recordAlive(run(1), 3_000));
  const alive = [{ ...run(2), ageMs: 0 }];
  t.deepEqual(ledger.merge({ suspects: [], alive }, 3_000).alive, []);
  t.is(ledger.getVerdict('f', 3_000), 'refused');
});

test('without a start time a run cannot be told from the next one', (t) => {
  const ledger = new CrashLedger(CRASH_LEDGER_OPTIONS);
  ledger.recordCrash('f', { target: 't-1', bornAt: 0 }, 1);
  t.false(ledger.recordAlive({ target: 't-1', bornAt: 0 }, 5));
  t.is(ledger.getCrashes('f', 5).length, 1);
});

test('the time between two trials of a refused request grows', (t) => {
  const times = [0, 0, 0];
  let now = 0;
  const waitsMs: number[] = [];
  while (times.length < 7) {
    const ledger = makeLedger(times);
    const waitMs = ledger.getRefusalMs('f', now);
    waitsMs.push(waitMs / MINUTE_MS);
    t.is(ledger.getVerdict('f', now + waitMs - 1), 'refused');
    t.is(ledger.getVerdict('f', now + waitMs), 'trial');
    now += waitMs;
    times.push(now);
  }
  t.deepEqual(waitsMs, [5, 20, 80, 320]);
});

test('crashes that are few and long ago are forgotten', (t) => {
  const ledger = makeLedger([0, 0]);
  t.is(ledger.getVerdict('f', 9 * MINUTE_MS), 'suspected');
  t.is(ledger.getVerdict('f', 11 * MINUTE_MS), 'clear');
  t.deepEqual(ledger.getNewsToRepeat(4, 11 * MINUTE_MS).suspects, []);
});

test('memory is bounded, and the requests with most evidence are kept', (t) => {
  const ledger = makeLedger([0, 0, 0]);
  for (let i = 0; i < 2_000; i++) ledger.recordCrash(`g-${i}`, run(i), i);
  t.is(ledger.size, 500);
  t.is(ledger.getVerdict('f', 2_000), 'refused');
});

type Step = readonly [kind: 'crash' | 'answer' | 'alive', vm: number, target: number, at: number];

const STEP: fc.Arbitrary<Step> = fc.tuple(
  fc.constantFrom('crash', 'answer', 'alive'),
  fc.nat(2),
  fc.nat(3),
  fc.integer({ min: 0, max: 40_000 }),
);

function applyStep(ledger: CrashLedger, [kind, , target, at]: Step): void {
  if (kind === 'crash') ledger.recordCrash('f', run(target), at);
  else if (kind === 'answer') ledger.recordAnswer('f', at);
  else ledger.recordAlive(run(target), at);
}

test('VMs that have told each other all they know agree on each request', (t) => {
  const now = 50_000;
  fc.assert(
    fc.property(fc.array(STEP, { maxLength: 12 }), (steps) => {
      const ledgers = [
        new CrashLedger(CRASH_LEDGER_OPTIONS),
        new CrashLedger(CRASH_LEDGER_OPTIONS),
        new CrashLedger(CRASH_LEDGER_OPTIONS),
      ];
      const inTime = [...steps].sort((a, b) => a[3] - b[3]);
      for (const step of inTime) applyStep(ledgers[step[1]], step);
      for (let round = 0; round < 4; round++) {
        for (const from of ledgers) {
          const news: CrashNews = from.getNewsToRepeat(10, now);
          for (const to of ledgers) if (to !== from) to.merge(news, now);
        }
      }
      const verdicts = ledgers.map((ledger) => ledger.getVerdict('f', now));
      return new Set(verdicts).size === 1;
    }),
    { numRuns: 300, seed: 7 },
  );
  t.pass();
});

// A VM that has just started would run a refused request until it happens to be told of it.
test('refused requests are told again in turn, whatever else is suspected', (t) => {
  const ledger = new CrashLedger(CRASH_LEDGER_OPTIONS);
  for (let f = 0; f < 6; f++) {
    for (let i = 0; i < 3; i++) ledger.recordCrash(`refused-${f}`, run(i), 0);
  }
  for (let f = 0; f < 30; f++) ledger.recordCrash(`suspected-${f}`, run(9), 1);
  const told = [1, 2, 3].map((now) =>
    ledger.getNewsToRepeat(4, now).suspects.map(({ fingerprint }) => fingerprint),
  );
  t.deepEqual(new Set(told.flat()), new Set([0, 1, 2, 3, 4, 5].map((f) => `refused-${f}`)));
  t.true(told.every((each) => each.length === 4));
});
