import test from 'ava';

import { EventLog } from '../../logging/EventLog.js';

function makeLog() {
  const written: string[] = [];
  const waiting: (() => void)[] = [];
  const time = { now: 0 };
  const log = new EventLog('vm-1', {
    write(text, done) {
      written.push(text);
      waiting.push(done);
    },
    now: () => time.now,
    wallNow: () => 0,
  });
  return { log, written, waiting, time };
}

test('a line is one JSON object with time, VM and event', (t) => {
  const { log, written } = makeLog();
  log.write('store.back', { ageMs: 4_200 });
  t.snapshot(written);
});

test('a reader that stalls costs lines, not memory', (t) => {
  // The pipe that collects the logs stops reading for minutes. The process must go on serving, and
  // must not keep all that it would have written.
  const { log, written, waiting, time } = makeLog();
  for (let i = 0; i < 100_000; i++) {
    time.now += 20;
    log.write('request.sent', { request: i, target: 'i-0123456789' });
  }
  t.is(written.length, 1);
  waiting[0]();
  t.true(written[1].length < 300 * 1024);
  t.regex(written[1], /"event":"log.dropped","lines":\d{4,}/);
});

test('lines of one event are bounded, and what was left out is told', (t) => {
  const { log, written, waiting, time } = makeLog();
  for (let i = 0; i < 1_000; i++) log.write('request.sent', { request: i });
  time.now += 1_000;
  log.write('request.sent', { request: 1_000 });
  waiting[0]();
  const lines = written.join('').trim().split('\n');
  t.is(lines.length, 121);
  t.regex(lines.at(-1) ?? '', /"request":1000,"leftOut":880/);
});

test('one event’s flood takes no line from another', (t) => {
  const { log, written, waiting } = makeLog();
  for (let i = 0; i < 1_000; i++) log.write('request.sent', { request: i });
  log.write('request.failed', { request: 7 });
  waiting[0]();
  t.regex(written.join(''), /request.failed/);
});
