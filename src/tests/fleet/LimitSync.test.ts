import test from 'ava';

import type { BalancerEvent } from '../../balancing/index.js';
import { readLimitMessage } from '../../fleet/limitMessages.js';
import { LimitSync } from '../../fleet/LimitSync.js';
import { EventLog } from '../../logging/EventLog.js';
import { VirtualClock } from '../../proof/VirtualClock.js';
import { TimerService } from '../../timing/index.js';

function makeReport(i: number) {
  return { target: `t-${i}`, bornAt: 1, perSecond: 1.3, ageMs: 0 };
}

function makeScene() {
  const clock = new VirtualClock();
  const told: string[] = [];
  const sent: { text: string; address: string }[] = [];
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
  const peer = { name: 'vm-2', zone: 'z', callers: '', peers: '10.0.0.2:7000', linkMbps: 0 };
  const sync = new LimitSync({
    view: { vms: new Map([['vm-2', peer]]) },
    clock,
    log,
    neighbours: {
      send: (text, address) => sent.push({ text, address }),
      sendToAll: (text) => told.push(text),
    },
    getFreshReports: () => [],
    dispatch: (event) => events.push(event),
  });
  sync.start(new TimerService(clock));
  return { clock, sync, told, sent, events, lines };
}

test('reports of a while are told together, and nothing while there is none', (t) => {
  const { clock, sync, told } = makeScene();
  clock.runUntil(5_000);
  t.is(told.length, 0);
  for (let i = 0; i < 30; i++) sync.run({ kind: 'gossipLimits', reports: [makeReport(i)] });
  sync.run({ kind: 'gossipLimits', reports: [makeReport(0)] });
  clock.runUntil(6_000);
  const counts = told.map((text) => {
    const message = readLimitMessage(text);
    return message.kind === 'limitNews' ? message.reports.length : 0;
  });
  t.deepEqual(counts, [24, 6]);
});

test('an ask goes to the issuer’s address, and its answer comes back as an event', (t) => {
  const { sync, sent, events } = makeScene();
  const ask = { kind: 'permitAsk', ask: 1, target: 't-1', bornAt: 1, reports: [] } as const;
  sync.run({ kind: 'askPermit', vm: 'vm-2', ask });
  t.is(sent[0].address, '10.0.0.2:7000');
  t.true(sync.take(sent[0].text, '10.0.0.9:7000'));
  t.deepEqual(events, [{ kind: 'permitAsked', ask, from: '10.0.0.9:7000' }]);
});

test('what can’t be sent or read is logged, and other datagrams are left alone', (t) => {
  const { sync, events, lines } = makeScene();
  const target = { target: 't-1', bornAt: 1 };
  sync.run({ kind: 'returnPermit', vm: 'vm-9', target });
  t.true(sync.take('limit ["x"]', '10.0.0.9:7000'));
  t.false(sync.take('{"kind":"report"}', '10.0.0.9:7000'));
  t.deepEqual(events, []);
  t.regex(lines.join(''), /permit\.issuerUnknown/);
  t.regex(lines.join(''), /permit\.unreadable/);
});
