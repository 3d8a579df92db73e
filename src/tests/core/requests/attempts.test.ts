import test from 'ava';

import type { Effect, ServiceConfig } from '../../../core/index.js';
import { makeService } from '../fixtures.js';
import { CoreDriver } from './CoreDriver.js';

function kinds(effects: readonly Effect[]): string[] {
  return effects.filter(({ kind }) => kind !== 'count' && kind !== 'log').map(({ kind }) => kind);
}

function makeDriver(changes: Partial<ServiceConfig> = {}): CoreDriver {
  const driver = new CoreDriver([{ ...makeService('horaires', 3), ...changes }]);
  driver.warmUp();
  return driver;
}

// A target dies while it runs a POST that charges a card. Resending it to another target could
// charge the card twice.
test('a request that is not repeatable is not resent after its target was lost', (t) => {
  const driver = makeDriver();
  const request = driver.arrive({ method: 'POST' });
  driver.end(driver.getOpenAttempts()[0].sent.attempt, 'reset');
  t.is(driver.getAttempts(request).length, 1);
  t.like(driver.answers.get(request), { outcome: 'unknown', code: 'target-failed' });
});

// The target refuses with a status that the service's file declares as a refusal, or no connection
// can be made. Nothing ran, so the request can be resent without the caller noticing.
test('a declared refusal or a failed connection lets a non-repeatable request be resent', (t) => {
  for (const fail of ['refused', 'notSent'] as const) {
    const driver = makeDriver();
    const request = driver.arrive({ method: 'POST' });
    const { attempt } = driver.getOpenAttempts()[0].sent;
    if (fail === 'refused') driver.answer(attempt, 503);
    driver.end(attempt, fail === 'refused' ? 'cancelled' : 'notSent');
    t.is(driver.getAttempts(request).length, 2);
    const [first, second] = driver.getAttempts(request);
    t.notDeepEqual(first?.sent.to, second?.sent.to);
  }
});

// A target dies after part of its answer was relayed. Ended normally, the answer would look
// complete with half of its content; the caller has to see a broken connection.
test('a truncated answer aborts the connection to the caller', (t) => {
  const driver = makeDriver();
  driver.arrive();
  const { attempt } = driver.getOpenAttempts()[0].sent;
  t.deepEqual(kinds(driver.answer(attempt)), ['relayAnswer']);
  t.deepEqual(kinds(driver.end(attempt, 'cut')), ['abortRequest']);
});

// Two targets in a row die while they hold a repeatable request. Resending it again and again could
// take down more targets, and the caller would only get its error later.
test('a repeatable request is resent once after a loss, then rejected', (t) => {
  const driver = makeDriver();
  const request = driver.arrive({ fingerprint: 'page' });
  driver.complete(driver.getOpenAttempts()[0].sent.attempt);
  const again = driver.arrive({ fingerprint: 'page' });
  driver.end(driver.getOpenAttempts()[0].sent.attempt, 'reset');
  driver.end(driver.getOpenAttempts()[0].sent.attempt, 'reset');
  t.is(driver.getAttempts(request).length, 1);
  t.is(driver.getAttempts(again).length, 2);
  t.like(driver.answers.get(again), { outcome: 'unknown' });
});

// All targets fail at once. Without a retry budget each request would be sent twice, just when the
// targets have the least capacity.
test('retries stay within the configured share of the requests', (t) => {
  const driver = makeDriver({
    repeat: { ...makeService('horaires', 1).repeat, retryShare: 0.1 },
  });
  let retried = 0;
  const requests = 200;
  for (let i = 0; i < requests; i++) {
    const request = driver.arrive({ fingerprint: `page${i % 3}` });
    for (let k = 0; k < 3; k++) {
      for (const { sent } of driver.getOpenAttempts()) driver.end(sent.attempt, 'reset');
    }
    retried += Math.max(0, driver.getAttempts(request).length - 1);
    driver.advance(3_000);
  }
  t.true(retried > 0);
  t.true(retried <= requests * 0.1 + 10);
});

// A caller hangs up. Without a cancellation its request would keep a slot for an answer that nobody
// reads.
test('a request is cancelled and not answered after its caller left', (t) => {
  const driver = makeDriver();
  const request = driver.arrive();
  const { attempt } = driver.getOpenAttempts()[0].sent;
  t.deepEqual(kinds(driver.dispatch({ kind: 'requestCancelled', request })), ['cancelAttempt']);
  t.deepEqual(kinds(driver.answer(attempt)), []);
  t.deepEqual(kinds(driver.end(attempt, 'cancelled')), []);
});

// The key of a booking could not be recorded, so an earlier request with it may have run. If the
// request were sent anyway, the booking could be made twice.
test('a request with a key is not sent before its key is recorded', (t) => {
  const driver = makeDriver();
  const request = driver.arrive({ method: 'POST', key: 'k1' });
  const settled = driver.answers.get(request);
  if (settled === undefined) {
    t.is(driver.getAttempts(request).length, 0);
    driver.dispatch({ kind: 'keyClaimResolved', request, result: { kind: 'refused' } });
  }
  t.like(driver.answers.get(request), { outcome: 'not-run', code: 'key-store-unavailable' });
  t.is(driver.getAttempts(request).length, 0);
});

// More requests wait than can be served for a while. Kept until their deadlines, they would hold up
// callers that could retry: each shed request is answered early, with a retry delay.
test('a standing queue is shed early, with correct outcomes', (t) => {
  const driver = makeDriver();
  const requests = Array.from({ length: 40 }, () => driver.arrive());
  t.is(driver.getOpenAttempts().length, 6);
  for (let i = 0; i < 60; i++) driver.advance(5);
  const shed = requests.filter((request) => driver.answers.has(request));
  t.is(shed.length, 34);
  for (const request of shed) {
    t.like(driver.answers.get(request), { outcome: 'not-run', code: 'queue-too-long' });
    t.true((driver.answers.get(request)?.retryAfterMs ?? 0) >= 50);
  }
});

// One caller sends ten times as many requests as another. Served in order of arrival, the other
// would wait behind all of them.
test('a noisy caller gets no more than its share of queue and slots while others wait', (t) => {
  const driver = makeDriver({ queue: { maxLength: 60, standingMs: 10_000 } });
  for (let i = 0; i < 100; i++) driver.arrive({ caller: 'noisy' });
  const quiet = Array.from({ length: 10 }, () => driver.arrive({ caller: 'quiet' }));
  t.true(quiet.every((request) => !driver.answers.has(request)));
  let rounds = 0;
  while (quiet.some((request) => driver.getAttempts(request).length === 0)) {
    for (const { sent } of driver.getOpenAttempts()) driver.complete(sent.attempt);
    driver.advance(5);
    rounds += 1;
  }
  t.true(rounds <= 5);
});

// A request's deadline passes before a slot becomes free.
test('a request that expires in the queue is answered as not run', (t) => {
  const driver = makeDriver({ queue: { maxLength: 100, standingMs: 1_000 } });
  for (let i = 0; i < 6; i++) driver.arrive();
  const late = driver.arrive({ deadlineAt: driver.now + 60 });
  driver.advance(65);
  t.like(driver.answers.get(late), { status: 504, outcome: 'not-run', code: 'deadline-passed' });
});

// The adapter's timer fires a millisecond before the deadline. The caller would get `target-failed`
// although its own deadline ended the request.
test('a timed-out attempt is answered as deadline-passed even if its timer was early', (t) => {
  const driver = makeDriver();
  const request = driver.arrive({ method: 'POST', deadlineAt: driver.now + 150 });
  driver.now += 149;
  driver.end(driver.getOpenAttempts()[0].sent.attempt, 'timedOut');
  t.like(driver.answers.get(request), { status: 504, outcome: 'unknown', code: 'deadline-passed' });
});
