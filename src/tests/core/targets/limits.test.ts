import test from 'ava';

import type { LocalTarget } from '../../../core/targets/index.js';
import { makeConfiguration, makeService } from '../fixtures.js';
import { CoreDriver } from '../requests/CoreDriver.js';

function getTarget(driver: CoreDriver, index: number): LocalTarget {
  const record = driver.state.targets.records.get(`horaires/t${index}`);
  if (record === undefined) throw new Error('no such target');
  return record;
}

function makeDriver(targets: number, slots: number): CoreDriver {
  const service = makeService('horaires', targets);
  return new CoreDriver([{ ...service, capacity: { ...service.capacity, slots } }]);
}

function arriveMany(driver: CoreDriver, count: number): void {
  for (let i = 0; i < count; i++) driver.arrive();
}

// A target that has just started fails under its full load, and callers would get resets until the
// load decreases.
test('a target in cold start gets one request, and twice as many after each good round', (t) => {
  const driver = makeDriver(1, 6);
  arriveMany(driver, 40);
  const rounds: number[] = [];
  for (let i = 0; i < 4; i++) {
    const live = driver.getOpenAttempts();
    rounds.push(live.length);
    driver.advance(10);
    for (const { sent } of live) driver.complete(sent.attempt);
  }
  t.deepEqual(rounds, [1, 2, 4, 6]);
});

// The whole fleet starts at once with all targets cold. If they were warmed up one after the other,
// most requests would have to wait.
test('a service whose targets are all cold uses all of them at the same time', (t) => {
  const driver = makeDriver(4, 6);
  arriveMany(driver, 40);
  t.is(driver.getOpenAttempts().length, 4);
  driver.advance(10);
  for (const { sent } of driver.getOpenAttempts()) driver.complete(sent.attempt);
  t.is(driver.getOpenAttempts().length, 8);
});

// A target restarts between two requests without breaking a connection, so that only the boot id in
// its reports shows the restart.
test('a target with a new boot id becomes cold, and older answers do not raise its limit', (t) => {
  const driver = makeDriver(1, 2);
  driver.warmUp();
  arriveMany(driver, 2);
  const [early, late] = driver.getOpenAttempts().map(({ sent }) => sent.attempt);
  driver.answer(early ?? 0, 200, { bootId: 'a' });
  driver.end(early ?? 0);
  driver.advance(1);
  driver.arrive();
  const [, fresh] = driver.getOpenAttempts().map(({ sent }) => sent.attempt);
  driver.advance(5);
  driver.answer(fresh ?? 0, 200, { bootId: 'b' });
  driver.end(fresh ?? 0);
  t.is(getTarget(driver, 0).phase, 'cold');
  driver.answer(late ?? 0, 200, { bootId: 'a' });
  t.is(getTarget(driver, 0).phase, 'cold');
  t.is(getTarget(driver, 0).limit, 1);
});

// A target becomes five times slower. Its answers show this only after that time, and until then
// each request that it is sent would be late.
test('a target whose requests make no progress gets no new ones before it has answered', (t) => {
  const driver = makeDriver(2, 2);
  driver.warmUp();
  arriveMany(driver, 4);
  const slow = getTarget(driver, 0);
  const held = [...slow.outstanding.keys()];
  driver.advance(20);
  for (const { sent } of driver.getOpenAttempts()) {
    if (!held.includes(sent.attempt)) driver.complete(sent.attempt);
  }
  driver.advance(180);
  t.true(slow.slow);
  arriveMany(driver, 2);
  t.is(slow.outstanding.size, held.length);
  for (const attempt of held) driver.complete(attempt);
  t.false(slow.slow);
  t.is(slow.limit, 1);
});

// Load reports may be late or wrong. A report of an idle target must not raise the limit, and
// reports of a full target may lower it to half at most.
test('load reports lower a limit to half at most and never raise it', (t) => {
  const driver = makeDriver(1, 6);
  driver.warmUp();
  const record = getTarget(driver, 0);
  const limits = Array.from({ length: 20 }, () => {
    driver.arrive();
    driver.advance(200);
    const [live] = driver.getOpenAttempts();
    driver.answer(live?.sent.attempt ?? 0, 200, { load: 1 });
    driver.end(live?.sent.attempt ?? 0);
    return record.limit;
  });
  t.is(Math.min(...limits), 3);
  const before = record.limit;
  driver.arrive();
  const [last] = driver.getOpenAttempts();
  driver.answer(last?.sent.attempt ?? 0, 200, { load: 0 });
  // The answer itself may raise the limit by one; the report must not.
  t.true(record.limit <= before + 1);
});

// A target is being replaced and reports that it is draining. New requests would be cut off by its
// exit.
test('a draining target gets no new requests and finishes those outstanding', (t) => {
  const driver = makeDriver(1, 2);
  driver.warmUp();
  arriveMany(driver, 2);
  const [first, second] = driver.getOpenAttempts().map(({ sent }) => sent.attempt);
  driver.answer(first ?? 0, 200, { draining: true });
  driver.end(first ?? 0);
  const waiting = driver.arrive();
  driver.advance(10);
  t.is(driver.getAttempts(waiting).length, 0);
  t.false(driver.attempts.get(second ?? 0)?.cancelled);
});

// Operators take a zone out and bring it back. Its targets may have been restarted meanwhile.
test('a zone that is out gets no new requests, and its targets are cold when it returns', (t) => {
  const driver = makeDriver(1, 2);
  driver.warmUp();
  const service = makeService('horaires', 1);
  const publish = (generation: number, state: 'in' | 'out') => {
    const { root, services } = makeConfiguration(generation, [service]);
    const zones = [{ name: 'a', region: 'north', state }];
    driver.dispatch({ kind: 'configurationPushed', root: { ...root, zones }, services });
  };
  publish(2, 'out');
  const request = driver.arrive();
  driver.advance(10);
  t.is(driver.getAttempts(request).length, 0);
  publish(3, 'in');
  t.is(getTarget(driver, 0).phase, 'cold');
  driver.advance(10);
  arriveMany(driver, 3);
  t.is(driver.getOpenAttempts().length, 1);
});

// Probes cost a target work. Even if a probe is due all the time, they stay within the declared
// share of the target's slot time, starting from an empty budget.
test('probes of an idle target stay within the share of its slot time', (t) => {
  const service = makeService('horaires', 1);
  const probe = { path: '/health', costMs: 6, budgetShare: 0.001, idleMs: 50 };
  const driver = new CoreDriver([{ ...service, probe }]);
  let probes = 0;
  driver.onEffect = (effect) => {
    if (effect.kind !== 'probe') return;
    probes += 1;
    t.true(probes * probe.costMs <= driver.now * service.capacity.slots * probe.budgetShare);
  };
  for (let i = 0; i < 2_000; i++) {
    driver.advance(50);
    driver.dispatch({ kind: 'probeEnded', target: 'horaires/t0', end: 'healthy' });
  }
  t.true(probes > 20);
});

// A holder can't renew its lease while a target in cold start runs one of its requests. The next
// holder also sends that target a request, and the target fails under both.
test('attempts at a cold target are cancelled once the lease has expired, and not before', (t) => {
  const driver = makeDriver(1, 2);
  driver.state.fleet.leaseEnd = 3_000;
  driver.arrive();
  const [seen] = driver.getOpenAttempts();
  driver.advance(2_900);
  t.false(seen?.cancelled);
  driver.advance(200);
  t.true(seen?.cancelled);
});

// The holder is the only one that sends, so a target that it does not leave alone gets no rest.
test('a target that refuses a request and asks for a pause gets no other one before its end', (t) => {
  const driver = makeDriver(1, 4);
  driver.warmUp();
  driver.arrive();
  const [{ sent }] = driver.getOpenAttempts();
  driver.answer(sent.attempt, 503, {}, 3_000);
  driver.end(sent.attempt);
  driver.advance(100);
  arriveMany(driver, 8);
  driver.advance(2_800);
  t.is(driver.getOpenAttempts().length, 0);
  driver.advance(200);
  arriveMany(driver, 1);
  t.is(driver.getOpenAttempts().length, 1);
});
