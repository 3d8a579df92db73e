import test from 'ava';

import { isLimitMessage, readLimitMessage, writeLimitMessage } from '../../fleet/limitMessages.js';
import type { LimitMessage } from '../../limits/index.js';

const REPORTS = [
  { target: 't-1', bornAt: 1, perSecond: 1.3, ageMs: 20 },
  { target: 't-1', bornAt: 1, perSecond: undefined, ageMs: 5 },
];

const MESSAGES: readonly LimitMessage[] = [
  { kind: 'limitNews', reports: REPORTS },
  { kind: 'permitAsk', ask: 4, target: 't-1', bornAt: 1, reports: REPORTS },
  {
    kind: 'permitAnswer',
    ask: 4,
    target: 't-1',
    bornAt: 1,
    isGranted: false,
    waitMs: 70,
    reports: [],
  },
  { kind: 'permitReturn', target: 't-1', bornAt: 1 },
];

test('messages about limits are read as they were written', (t) => {
  const texts = MESSAGES.map(writeLimitMessage);
  t.snapshot(texts);
  t.true(texts.every(isLimitMessage));
  t.deepEqual(texts.map(readLimitMessage), MESSAGES);
});

test('a datagram that is no message about limits is an error', (t) => {
  for (const text of ['limit', 'limit ["x"]', 'limit ["n",[["t-1","a",1,1]]]', 'limit {"a":1}']) {
    t.throws(() => readLimitMessage(text), undefined, text);
  }
});
