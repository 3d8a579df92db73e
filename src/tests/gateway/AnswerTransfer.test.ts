import { EventEmitter } from 'node:events';
import type { ServerResponse } from 'node:http';

import test from 'ava';

import type { TransferEnd } from '../../gateway/AnswerTransfer.js';
import { AnswerTransfer } from '../../gateway/AnswerTransfer.js';

// Guards against a connection that is cut as an answer on it has to wait for its turn.
test('a complete answer that waits for its turn is not broken off at its deadline', (t) => {
  const ends: TransferEnd[] = [];
  const state: { socket: unknown; destroy(): void } = { socket: null, destroy: () => {} };
  const res = Object.assign(new EventEmitter(), state);
  const transfer = new AnswerTransfer(res as unknown as ServerResponse, {
    remainder: undefined,
    isEndedByClose: false,
    deadlineAt: 10,
    onEnd: (end) => ends.push(end),
  });
  transfer.checkTime(20);
  t.deepEqual(ends, []);
  res.socket = {};
  transfer.checkTime(20);
  t.deepEqual(ends, ['late']);
});
