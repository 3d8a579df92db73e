import test from 'ava';

import type { BalancerEvent } from '../../balancing/index.js';
import type { CrashNews } from '../../crashes/index.js';
import { isCrashMessage, readCrashMessage, writeCrashMessage } from '../../fleet/crashMessages.js';
import { CrashSync } from '../../fleet/CrashSync.js';
import { EventLog } from '../../logging/EventLog.js';
import { VirtualClock } from '../../proof/VirtualClock.js';
import { TimerService } from '../../timing/index.js';

const NEWS: CrashNews = {
  suspects: [
    {
      fingerprint: 'f',
      crashes: [{ target: 't-1', bornAt: 1, ageMs: 20 }],
      answeredAgeMs: undefined,
    },
    { fingerprint: 'g', crashes: [], answeredAgeMs: 5 },
  ],
  alive: [{ target: 't-2', bornAt: 2, ageMs: 0 }],
};

function makeScene(latest: CrashNews = { suspects: [], alive: [] }) {
  const clock = new VirtualClock();
  const sent: string[] = [];
  const events: BalancerEvent[] = [];
  const lines: string[] = [];
  const log = new EventLog('vm-1', {
    write: (text, done) => {
      lines.push(text);
      done();
    },
    now: () => clock.now(),
    wallNow: () => 0,
  });
  const sync = new CrashSync({
    clock,
    log,
    neighbours: { sendToLinked: (text) => sent.push(text) },
    getNewsToRepeat: () => latest,
    dispatch: (event) => events.push(event),
  });
  sync.start(new TimerService(clock));
  return { clock, sync, sent, events, lines };
}

function makeSuspect(i: number, crashes: number) {
  return {
    fingerprint: `f-${i}`,
    crashes: Array.from({ length: crashes }, (_, j) => ({ target: `t-${j}`, bornAt: 1, ageMs: 0 })),
    answeredAgeMs: undefined,
  };
}

test('messages about crashes are read as they were written', (t) => {
  const text = writeCrashMessage(NEWS);
  t.snapshot(text);
  t.true(isCrashMessage(text));
  t.deepEqual(readCrashMessage(text), NEWS);
});

test('a datagram that is no message about crashes is logged', (t) => {
  const { sync, events, lines } = makeScene();
  for (const text of ['crash', 'crash x', 'crash [[[1,[],null]],[]]', 'crash [[],[["t","x",1]]]']) {
    t.is(sync.receive(text, '10.0.0.9:7000'), text !== 'crash', text);
  }
  t.false(sync.receive('limit []', '10.0.0.9:7000'));
  t.deepEqual(events, []);
  t.regex(lines.join(''), /crashes\.unreadable/);
});

test('news that arrive become an event', (t) => {
  const { sync, events } = makeScene();
  t.true(sync.receive(writeCrashMessage(NEWS), '10.0.0.9:7000'));
  t.deepEqual(events, [{ kind: 'crashesReported', news: NEWS }]);
});

test('the requests with most evidence are told first, in datagrams that fit a packet', (t) => {
  const { clock, sync, sent } = makeScene();
  for (let i = 0; i < 300; i++) {
    const news = { suspects: [makeSuspect(i, i === 200 ? 3 : 1)], alive: [] };
    sync.runEffect({ kind: 'gossipCrashes', news });
  }
  clock.runUntil(6);
  t.is(sent.length, 1);
  t.is(readCrashMessage(sent[0]).suspects[0].fingerprint, 'f-200');
  clock.runUntil(900);
  t.is(sent.length, 20);
  t.true(sent.every((text) => text.length < 1_400));
});

// A VM that has just started, or missed a datagram, would run a request that all others refuse.
test('the latest news are told again each second, and nothing if there are none', (t) => {
  const repeating = makeScene(NEWS);
  repeating.clock.runUntil(3_100);
  t.is(repeating.sent.length, 3);
  const quiet = makeScene();
  quiet.clock.runUntil(10_000);
  t.is(quiet.sent.length, 0);
});
