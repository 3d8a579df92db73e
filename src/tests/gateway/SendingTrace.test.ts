import test from 'ava';

import type { AttemptResult, SendingFacts } from '../../balancing/index.js';
import { BodyMemory } from '../../gateway/BodyMemory.js';
import { TargetAgent } from '../../gateway/TargetAgent.js';
import type { TargetAnswer } from '../../gateway/TargetRequest.js';
import { classifyTargetHead, TargetRequest } from '../../gateway/TargetRequest.js';
import { SystemClock } from '../../timing/index.js';
import { formatResponse, startTarget } from './rawTarget.js';

const OWN_ID = 'X-Masticlink-Request-Id: r-1';
const SIGNATURE = 'X-Masticlink-Response-Signature: 1.2.3';
const NO_BODY = 'Content-Length: 0';
const REJECTED = 'X-Masticlink-Not-Executed: 1';

interface Sending {
  readonly answer: TargetAnswer | undefined;
  readonly kind: AttemptResult['kind'];
  readonly facts: SendingFacts | undefined;
}

/** Sends the request `r-1`, once. */
async function trySend(agent: TargetAgent, address: string): Promise<Sending> {
  return new Promise((resolve) => {
    const targetRequest: TargetRequest = new TargetRequest({
      agent,
      clock: new SystemClock(),
      memory: new BodyMemory(350, () => 0),
      address,
      method: 'GET',
      path: '/',
      headers: ['X-Masticlink-Request-Id', 'r-1'],
      body: undefined,
      classifyHead: (head) => classifyTargetHead('r-1', head),
      onEnd: ({ kind }, trace) =>
        resolve({ kind, facts: trace.describe('r-1', kind), answer: targetRequest.answer }),
    });
  });
}

/** Sends the request `r-1`; again if the machine was too busy to connect in time. */
async function send(agent: TargetAgent, address: string): Promise<Sending> {
  let sending = await trySend(agent, address);
  for (let i = 0; i < 20 && sending.kind === 'unsent'; i += 1) {
    sending = await trySend(agent, address);
  }
  return sending;
}

/** Sends the request `r-1` to a target that answers it in this way. */
async function sendOnce(answer: string): Promise<Sending> {
  const { server, address } = await startTarget((socket) =>
    socket.on('data', () => socket.write(answer)),
  );
  const agent = new TargetAgent(1);
  const sending = await send(agent, address);
  agent.destroy();
  server.close();
  return sending;
}

// Without the check, nobody can tell a late answer of another request from one that was damaged.
for (const [name, { answer, facts }] of Object.entries({
  'names another request': {
    answer: formatResponse('503 Busy', ['X-Masticlink-Request-Id: r-0', REJECTED, NO_BODY]),
    facts: { status: 503, named: 'other', otherId: 'r-0', check: 'otherId' },
  },
  'names no request': {
    answer: formatResponse('503 Busy', [REJECTED, NO_BODY]),
    facts: { status: 503, named: 'none', check: 'noId' },
  },
  'is not signed': {
    answer: formatResponse('200 OK', [OWN_ID, NO_BODY]),
    facts: { status: 200, named: 'this', check: 'unsigned' },
  },
  'is encoded': {
    answer: formatResponse('200 OK', [OWN_ID, SIGNATURE, 'Content-Encoding: br', NO_BODY]),
    facts: { status: 200, named: 'this', check: 'encoded' },
  },
  'comes behind too many interim answers': {
    answer: 'HTTP/1.1 102 Processing\r\n\r\n'.repeat(20),
    facts: { check: 'interimAnswers' },
  },
} as const)) {
  test(`the check that an answer fails is known if it ${name}`, async (t) => {
    const sending = await sendOnce(answer);
    t.is(sending.kind, 'spoilt');
    t.like(sending.facts, facts);
  });
}

// Without them, nobody can tell which connections bring answers of other requests.
test('the connection of a rejected request is described by what it has carried', async (t) => {
  const rejection = formatResponse('503 Busy', [OWN_ID, REJECTED, NO_BODY]);
  let receivedBytes = 0;
  const { server, address } = await startTarget((socket) =>
    socket.on('data', (data) => {
      receivedBytes = data.length;
      socket.write(rejection);
    }),
  );
  const agent = new TargetAgent(1);
  const first = await send(agent, address);
  t.like(first.facts?.connection, { isKept: false, requests: 0, probes: 0 });
  t.is(first.facts?.connection?.sentBytes, receivedBytes);
  const second = await send(agent, address);
  t.like(second.facts?.connection, { isKept: true, requests: 1, probes: 0 });
  t.is(second.facts?.connection?.sentBytes, receivedBytes);
  agent.destroy();
  server.close();
});

// Bytes that wait for a connection are in this process only.
test('nothing is sent of a request whose connection is refused', async (t) => {
  const agent = new TargetAgent(1);
  const { kind, facts } = await trySend(agent, '127.0.0.1:1');
  t.is(kind, 'unsent');
  t.like(facts?.connection, { isKept: false, sentBytes: 0 });
  agent.destroy();
});
