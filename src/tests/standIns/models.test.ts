import test from 'ava';

import type { StoreReply, TargetListener } from '../../standIns/models/index.js';
import { StoreModel, TargetModel } from '../../standIns/models/index.js';
import { VirtualClock } from '../../proof/VirtualClock.js';

const REQUEST = { sender: 'vm1', fingerprint: 'f', isProbe: false, newConnection: false };

function listen(log: string[], name: string): TargetListener {
  return {
    answered: (status) => log.push(`${name} answered ${status}`),
    ended: (end) => log.push(`${name} ${end}`),
  };
}

// Two operators write the same object based on the same version. The second write must be answered
// with a conflict; otherwise it would silently overwrite the first one.
test('the store writes only from the latest version and wakes a watch', (t) => {
  const clock = new VirtualClock();
  const store = new StoreModel(clock);
  const replies: StoreReply[] = [];
  const reply = (result: StoreReply) => replies.push(result);
  store.call({ op: 'watch', key: 'a', after: 0, waitMs: 1_000 }, reply);
  store.call({ op: 'put', key: 'a', value: 1, expect: 0 }, reply);
  store.call({ op: 'put', key: 'a', value: 2, expect: 0 }, reply);
  clock.runUntil(100);
  t.snapshot(replies);
});

// The answer to a write is lost after the write took effect. A caller that treats this as a failure
// and writes again gets a conflict with its own change.
test('the store can lose an answer after the effect', (t) => {
  const clock = new VirtualClock();
  const store = new StoreModel(clock);
  const replies: StoreReply[] = [];
  store.faults.losesAnswer = () => true;
  store.call({ op: 'put', key: 'a', value: 1, expect: 0 }, (result) => replies.push(result));
  clock.runUntil(100);
  t.deepEqual(replies, ['lost']);
  t.is(store.peek('a')?.value, 1);
});

// A cold back end gets as many requests as a warm one. It crashes, resets all outstanding requests
// and restarts cold, so callers lose requests that would have been answered one at a time.
test('a cold target crashes above its capacity, which grows as requests complete', (t) => {
  const clock = new VirtualClock();
  const target = new TargetModel(clock, () => 0.5, { startsCold: true, slots: 4 });
  const log: string[] = [];
  const send = (uid: string) =>
    target.acceptRequest({ ...REQUEST, uid, serviceMs: 10 }, listen(log, uid));
  send('first');
  clock.runUntil(50);
  t.is(target.capacity, 2);
  for (const uid of ['second', 'third', 'fourth']) send(uid);
  t.is(target.overloadCrashes, 1);
  send('fifth');
  clock.runUntil(1_000);
  t.is(target.capacity, 1);
  t.deepEqual(log, [
    'first answered 200',
    'first complete',
    'second reset',
    'third reset',
    'fourth reset',
    'fifth notSent',
  ]);
});
