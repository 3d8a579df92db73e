import type { IncomingHttpHeaders } from 'node:http';

import test from 'ava';

import { cleanHeaders } from '../../entry/exchange/headers.js';
import { classifyForwardHead, toForwardResult } from '../../gateway/classifyForwardHead.js';
import {
  FORWARD_HEADER,
  readForwardTerms,
  writeForwardTerms,
} from '../../gateway/forwardHeaders.js';
import { GatewayHarness } from './GatewayHarness.js';

function classify(status: number, reason?: string, isSigned = false): string {
  const headers: IncomingHttpHeaders = reason === undefined ? {} : { 'masticlink-reason': reason };
  return classifyForwardHead({ status, headers, isSigned })?.kind ?? 'delivered';
}

test('terms of a request that is passed on are read as they were written', (t) => {
  const terms = { maxTargets: 2, service: 'horaires' };
  t.deepEqual(readForwardTerms({ [FORWARD_HEADER]: writeForwardTerms(terms) }), terms);
  for (const value of ['', 'targets=2', 'targets=x; service=a', 'targets=2; service=']) {
    t.is(readForwardTerms({ [FORWARD_HEADER]: value }), undefined, value);
  }
  t.is(readForwardTerms({}), undefined);
});

// A refusal that is taken for an answer, or the reverse, would break the promise that it has not run.
test('what another VM answers is delivered, asked elsewhere or a failure', (t) => {
  t.snapshot({
    'target answers': classify(200, undefined, true),
    'target fails': classify(500, undefined, true),
    'no target': classify(503, 'noTarget'),
    'refused by an earlier version': classify(503),
    'no such route': classify(404, 'noRoute'),
    'possibly run': classify(502, 'targetFailed'),
    'timed out': classify(504, 'timedOut'),
    'success without a signature': classify(200),
    'failure without a signature': classify(500),
  });
  t.deepEqual(toForwardResult({ kind: 'unsent' }, undefined), { kind: 'unsent' });
  t.deepEqual(toForwardResult({ kind: 'spoilt' }, undefined), { kind: 'broken' });
  t.deepEqual(toForwardResult({ kind: 'answered', status: 200 }, undefined), {
    kind: 'answered',
    status: 200,
  });
});

// A target's header would make the VM that passed the request on state that it has not run.
test('only a VM can state the reason of its refusal', (t) => {
  const sent = ['Masticlink-Reason', 'noRoute', 'Masticlink-Forward', 'targets=1; service=a'];
  t.deepEqual(cleanHeaders(sent).headers, []);
});

// Only entry VMs may set terms; a caller that does so would lower the number of its attempts.
test('the header of a request that is passed on does not reach targets', async (t) => {
  const harness = await GatewayHarness.start();
  const caller = await harness.connect();
  caller.socket.write(
    'GET /horaires/x HTTP/1.1\r\nHost: door.example\r\nX-Masticlink-Request-Id: r-1\r\n' +
      `${FORWARD_HEADER}: targets=1; service=horaires\r\n\r\n`,
  );
  await harness.waitForStarted(1);
  t.is(harness.lastHeaders[FORWARD_HEADER], undefined);
  harness.release('r-1');
  await harness.stop();
});
