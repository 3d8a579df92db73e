import type { IncomingHttpHeaders, IncomingMessage, ServerResponse } from 'node:http';

import test from 'ava';

import type { BalancerEvent } from '../../balancing/index.js';
import { cleanHeaders } from '../../entry/exchange/headers.js';
import { ActiveRequests } from '../../gateway/ActiveRequests.js';
import { BodyMemory } from '../../gateway/BodyMemory.js';
import { CallerRequestHandler } from '../../gateway/CallerRequestHandler.js';
import { classifyForwardHead, toForwardResult } from '../../gateway/classifyForwardHead.js';
import {
  FORWARD_HEADER,
  readForwardTerms,
  writeForwardTerms,
} from '../../gateway/forwardHeaders.js';
import { TargetAgents } from '../../gateway/TargetAgents.js';
import { SystemClock } from '../../timing/index.js';
import { GatewayHarness } from './GatewayHarness.js';

function classify(status: number, reason?: string, isSigned = false): string {
  const headers: IncomingHttpHeaders = reason === undefined ? {} : { 'masticlink-reason': reason };
  const head = { status, headers, isSigned, callerRequestId: 'r-1' };
  return classifyForwardHead('r-1', head)?.kind ?? 'delivered';
}

test('terms of a request that is passed on are read as they were written', (t) => {
  const terms = { maxTargets: 2, sinceFirstMs: 40, service: 'horaires' };
  t.deepEqual(readForwardTerms({ [FORWARD_HEADER]: writeForwardTerms(terms) }), terms);
  const unreadable = [
    '',
    'targets=2',
    'targets=x; since=0; service=a',
    'targets=2; since=0; service=',
  ];
  for (const value of unreadable) {
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
    'refused without a reason': classify(503),
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

// Guards against taking a refusal of another request for a statement about this one.
test('what another VM answers to another request is neither an answer nor a refusal', (t) => {
  const kinds = ['r-1', 'r-0'].flatMap((callerRequestId) =>
    [true, false].map((isSigned) => {
      const head = { status: isSigned ? 200 : 503, headers: {}, isSigned, callerRequestId };
      return classifyForwardHead('r-1', head)?.kind ?? 'delivered';
    }),
  );
  t.deepEqual(kinds, ['delivered', 'refused', 'broken', 'broken']);
});

// Guards against a 502 for a request that has not run.
test('a 401 of another VM is a refusal, one of a target is its answer', (t) => {
  t.is(classify(401, 'unknownKey'), 'refused');
  t.is(classify(401, undefined, true), 'delivered');
});

// A target's header would make the VM that passed the request on state that it has not run.
test('only a VM can state the reason of its refusal', (t) => {
  const sent = [
    'Masticlink-Reason',
    'noRoute',
    'Masticlink-Forward',
    'targets=1; since=0; service=a',
  ];
  t.deepEqual(cleanHeaders(sent).headers, []);
});

// Targets would have to know what is between entry VMs.
test('the header of a request that is passed on does not reach targets', async (t) => {
  const harness = await GatewayHarness.start();
  const caller = await harness.connect();
  caller.socket.write(
    'GET /horaires/x HTTP/1.1\r\nHost: door.example\r\nX-Masticlink-Request-Id: r-1\r\n' +
      `${FORWARD_HEADER}: targets=1; since=0; service=horaires\r\n\r\n`,
  );
  await harness.waitForStarted(1);
  t.is(harness.lastHeaders[FORWARD_HEADER], undefined);
  harness.release('r-1');
  await harness.stop();
});

// A VM behind a translated address would not be known, and its requests would travel in a circle.
test('a request with terms is not passed on again, whatever address it comes from', (t) => {
  const dispatched: BalancerEvent[] = [];
  const requests = new ActiveRequests({
    agents: new TargetAgents(),
    vmAgents: new TargetAgents(),
    clock: new SystemClock(),
    memory: new BodyMemory(350, () => 0),
    dispatch: () => {},
    log: () => {},
  });
  const handler = new CallerRequestHandler({
    clock: new SystemClock(),
    activeRequests: requests,
    dispatch: (event) => dispatched.push(event),
    memory: new BodyMemory(350, () => 0),
    random: Math.random,
    log: () => {},
    getCallerLimits: () => undefined,
    isVmAddress: (ip) => ip === '10.0.0.1',
    isKeyUnknown: () => false,
    hasOrganisations: () => false,
  });
  const headers = {
    [FORWARD_HEADER]: 'targets=1; since=0; service=horaires',
    host: 'door.example',
  };
  for (const remoteAddress of ['10.0.0.1', '10.9.9.9']) {
    const socket = { remoteAddress };
    const req = { headers, rawHeaders: [], url: '/horaires/x', method: 'GET', socket };
    const res = { once: () => res };
    handler.handle(req as unknown as IncomingMessage, res as unknown as ServerResponse, false, 0);
  }
  t.deepEqual(
    dispatched.map((event) => event.kind === 'requestArrived' && event.forwarded),
    [
      { maxTargets: 1, sinceFirstMs: 0, service: 'horaires' },
      { maxTargets: 1, sinceFirstMs: undefined, service: undefined },
    ],
  );
});
