import test from 'ava';

import { EventLog } from '../../logging/EventLog.js';

function createLog() {
  const written: string[] = [];
  const callbacks: (() => void)[] = [];
  const time = { now: 0 };
  const log = new EventLog('vm-1', {
    write(text, done) {
      written.push(text);
      callbacks.push(done);
    },
    now: () => time.now,
    wallNow: () => 0,
  });
  return { log, written, callbacks, time };
}

test('a line is one JSON object with time, VM and event', (t) => {
  const { log, written } = createLog();
  log.write('store.back', { ageMs: 4_200 });
  t.snapshot(written);
});

test('lines are dropped when the reader stalls, so that memory use is limited', (t) => {
  // The reader of the log pipe stalls for minutes. The process must continue to serve and must not
  // buffer everything that it would have written.
  const { log, written, callbacks, time } = createLog();
  for (let i = 0; i < 100_000; i++) {
    time.now += 20;
    log.write('request.sent', { request: i, target: 'i-0123456789' });
  }
  t.is(written.length, 1);
  callbacks[0]();
  t.true(written[1].length < 300 * 1024);
  t.regex(written[1], /"event":"log.dropped","lines":\d{4,}/);
});

test('the rate of one event is limited, and the number of suppressed lines is logged', (t) => {
  const { log, written, callbacks, time } = createLog();
  for (let i = 0; i < 1_000; i++) log.write('request.sent', { request: i });
  time.now += 1_000;
  log.write('request.sent', { request: 1_000 });
  callbacks[0]();
  const lines = written.join('').trim().split('\n');
  t.is(lines.length, 121);
  t.regex(lines.at(-1) ?? '', /"request":1000,"leftOut":880/);
});

test('a flood of one event does not suppress lines of another', (t) => {
  const { log, written, callbacks } = createLog();
  for (let i = 0; i < 1_000; i++) log.write('request.sent', { request: i });
  log.write('request.failed', { request: 7 });
  callbacks[0]();
  t.regex(written.join(''), /request.failed/);
});
