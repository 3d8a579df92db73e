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
  const broadcasts: string[] = [];
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
      sendToAll: (text) => broadcasts.push(text),
    },
    getFreshReports: () => [],
    dispatch: (event) => events.push(event),
  });
  sync.start(new TimerService(clock));
  return { clock, sync, broadcasts, sent, events, lines };
}

test('reports are sent in batches, and nothing is sent without reports', (t) => {
  const { clock, sync, broadcasts } = makeScene();
  clock.runUntil(5_000);
  t.is(broadcasts.length, 0);
  for (let i = 0; i < 30; i++) sync.runEffect({ kind: 'gossipLimits', reports: [makeReport(i)] });
  sync.runEffect({ kind: 'gossipLimits', reports: [makeReport(0)] });
  clock.runUntil(6_000);
  const counts = broadcasts.map((text) => {
    const message = readLimitMessage(text);
    return message.kind === 'limitNews' ? message.reports.length : 0;
  });
  t.deepEqual(counts, [24, 6]);
});

test('a permit request is sent to the issuer’s address, and a received one becomes an event', (t) => {
  const { sync, sent, events } = makeScene();
  const ask = { kind: 'permitAsk', ask: 1, target: 't-1', bornAt: 1, reports: [] } as const;
  sync.runEffect({ kind: 'askPermit', vm: 'vm-2', ask });
  t.is(sent[0].address, '10.0.0.2:7000');
  t.true(sync.receive(sent[0].text, '10.0.0.9:7000'));
  t.deepEqual(events, [{ kind: 'permitAsked', ask, from: '10.0.0.9:7000' }]);
});

test('a message that can’t be sent or decoded is logged, and other datagrams are ignored', (t) => {
  const { sync, events, lines } = makeScene();
  const target = { target: 't-1', bornAt: 1 };
  sync.runEffect({ kind: 'returnPermit', vm: 'vm-9', target });
  t.true(sync.receive('limit ["x"]', '10.0.0.9:7000'));
  t.false(sync.receive('{"kind":"report"}', '10.0.0.9:7000'));
  t.deepEqual(events, []);
  t.regex(lines.join(''), /permit\.issuerUnknown/);
  t.regex(lines.join(''), /permit\.unreadable/);
});
