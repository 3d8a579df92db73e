import test from 'ava';

import { explainRequest } from '../../report/explainRequest.js';
import { explainRollouts } from '../../report/explainRollouts.js';

function line(vm: string, second: number, event: string, fields: object): string {
  return JSON.stringify({ time: `2026-01-01T00:00:0${second}.000Z`, vm, event, ...fields });
}

const ORDER = { order: 'horaires@12/v2' };
const EVIDENCE = {
  ageMs: 2_555,
  vms: 3,
  oldAnswers: 104,
  oldBad: 1,
  newAnswers: 13,
  newBad: 6,
  suspicion: 1,
  route: 'lookup',
};

test('the evidence against a version, the stages of the VMs and the store writes are listed', (t) => {
  const lines = [
    line('vm-1', 1, 'rollout.stage', { ...ORDER, stage: 'trial' }),
    line('vm-2', 2, 'rollout.stage', { ...ORDER, stage: 'trial' }),
    line('vm-1', 3, 'rollout.judged', {
      ...ORDER,
      ...EVIDENCE,
      before: 'trial',
      phase: 'stopped',
    }),
    line('vm-1', 4, 'rollout.writeFailed', { ...ORDER, state: 'rolledBack', message: 'no answer' }),
    line('vm-2', 5, 'rollout.written', {
      ...ORDER,
      ...EVIDENCE,
      state: 'rolledBack',
      isWritten: true,
    }),
    line('vm-1', 6, 'rollout.written', { ...ORDER, state: 'rolledBack', isWritten: false }),
    'no line of a gateway',
  ];
  t.snapshot(explainRollouts(lines));
});

test('the report on logs without a rollout is empty', (t) => {
  t.deepEqual(explainRollouts([line('vm-1', 1, 'store.back', {})]), []);
});

test('a line about several targets is reduced to the target of the request', (t) => {
  const explained = explainRequest(
    [
      line('vm-1', 1, 'target.added', { targets: ['t-1 horaires v1', 't-2 horaires v1'] }),
      line('vm-1', 2, 'request.sent', { id: 'r-1', target: 't-2' }),
    ],
    'r-1',
  );
  t.true(explained.some((text) => text.includes('target.added') && text.includes('t-2 horaires')));
  t.false(explained.some((text) => text.includes('t-1 horaires')));
});
