import test from 'ava';

import type { BalancerEvent } from '../../balancing/index.js';
import { QuotaSync } from '../../fleet/QuotaSync.js';
import { readQuotaMessage, writeQuotaMessage } from '../../fleet/quotaMessages.js';
import { EventLog } from '../../logging/EventLog.js';

const LISTED = '10.0.0.2:7000';

function makeScene() {
  const sent: { text: string; address: string }[] = [];
  const events: BalancerEvent[] = [];
  const lines: string[] = [];
  const log = new EventLog('vm-1', {
    write: (text, done) => {
      lines.push(text);
      done();
    },
    now: () => 0,
    wallNow: () => 0,
  });
  const peer = { name: 'vm-2', zone: 'z', callers: '', peers: LISTED, linkMbps: 0 };
  const sync = new QuotaSync({
    view: { vms: new Map([['vm-2', peer]]) },
    log,
    neighbours: { send: (text, address) => sent.push({ text, address }) },
    dispatch: (event) => events.push(event),
  });
  return { sync, sent, events, lines };
}

const MESSAGES = [
  { kind: 'ask', organisation: 'north', ask: 7 },
  { kind: 'answer', organisation: 'north', ask: 7, isGranted: false, waitMs: 120 },
  { kind: 'return', organisation: 'north' },
] as const;

test('messages survive the wire, and are small', (t) => {
  for (const message of MESSAGES) {
    t.deepEqual(readQuotaMessage(writeQuotaMessage(message)), message);
  }
  t.snapshot(MESSAGES.map(writeQuotaMessage));
});

// Guards against permits that anyone on the network can ask for, grant or return.
test('a datagram of a forged sender changes nothing', (t) => {
  const { sync, events, sent } = makeScene();
  for (const message of MESSAGES) {
    t.true(sync.receive(writeQuotaMessage(message), '10.0.0.2:7001'));
    t.true(sync.receive(writeQuotaMessage(message), '10.9.9.9:7000'));
  }
  t.deepEqual(events, []);
  t.deepEqual(sent, []);
  for (const message of MESSAGES) sync.receive(writeQuotaMessage(message), LISTED);
  t.deepEqual(
    events.map(({ kind }) => kind),
    ['quotaAsked', 'quotaAnswered', 'quotaReturned'],
  );
});

// Guards against a process that ends because of a malformed datagram.
test('an unreadable datagram is logged and dropped', (t) => {
  const { sync, events, lines } = makeScene();
  for (const text of ['quota {', 'quota []', 'quota ["q",1,2]', 'quota ["a","n",1,true,-1]']) {
    t.true(sync.receive(text, LISTED));
  }
  t.false(sync.receive('limit []', LISTED));
  t.deepEqual(events, []);
  t.is(lines.filter((line) => line.includes('quota.unreadable')).length, 4);
});

test('effects are sent to the VM that they name', (t) => {
  const { sync, sent } = makeScene();
  sync.runEffect({ kind: 'askQuota', vm: 'vm-2', ask: { organisation: 'north', ask: 1 } });
  sync.runEffect({ kind: 'returnQuota', vm: 'vm-2', organisation: 'north' });
  sync.runEffect({ kind: 'returnQuota', vm: 'vm-9', organisation: 'north' });
  t.deepEqual(
    sent.map(({ address }) => address),
    [LISTED, LISTED],
  );
});
