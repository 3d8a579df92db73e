import test from 'ava';

import type { AttemptResult } from '../../balancing/index.js';
import { BodyMemory } from '../../gateway/BodyMemory.js';
import { TargetAgent } from '../../gateway/TargetAgent.js';
import { classifyTargetHead, TargetRequest } from '../../gateway/TargetRequest.js';
import { SystemClock } from '../../timing/index.js';
import type { CallerSocket } from './CallerSocket.js';
import { ALLOWED_MS } from './CallerSocket.js';
import { GatewayHarness, WITHOUT_ID } from './GatewayHarness.js';
import { formatResponse, sendRequest, startTarget, VALID_HEADERS } from './rawTarget.js';

function sendWithoutId({ socket }: CallerSocket): void {
  socket.write(
    `GET /horaires/x HTTP/1.1\r\nHost: door.example\r\nX-Masticlink-Deadline-Ms: ${ALLOWED_MS}\r\n\r\n`,
  );
}

// Guards against a late answer that reaches a caller whose request has no id to compare.
test('requests without an id share no connection to a target with others', async (t) => {
  const harness = await GatewayHarness.start();
  const caller = await harness.connect();
  caller.sendRequests('r-1');
  await harness.waitForStarted(1);
  harness.release('r-1');
  await harness.waitUntil(() => caller.statuses.length === 1);
  for (const count of [2, 3]) {
    sendWithoutId(caller);
    await harness.waitForStarted(count);
    harness.release(WITHOUT_ID);
    await harness.waitUntil(() => caller.statuses.length === count);
  }
  caller.sendRequests('r-4');
  await harness.waitForStarted(4);
  harness.release('r-4');
  await harness.waitUntil(() => caller.statuses.length === 4);
  t.deepEqual(caller.statuses, [200, 200, 200, 200]);
  t.is(harness.targetSockets.size, 3);
  await harness.stop();
});

test('an answer to another request is not accepted', async (t) => {
  // A second answer to an earlier request arrives late, in place of the answer to the next one. The
  // caller would receive the answer to another caller's request.
  const { end } = await sendRequest((socket) =>
    socket.end(
      formatResponse(
        '200 OK',
        ['X-Masticlink-Request-Id: r-0', VALID_HEADERS[1], 'Content-Length: 5'],
        'other',
      ),
    ),
  );
  t.is(end.kind, 'spoilt');
});

// Guards against a promise that a request has not run which rests on another request's rejection.
for (const [name, idHeader] of Object.entries({
  'of another request': ['X-Masticlink-Request-Id: r-0'],
  'without an id': [],
})) {
  for (const status of ['503 Service Unavailable', '421 Misdirected Request']) {
    test(`a rejection ${name} says nothing about the request: ${status}`, async (t) => {
      const { end } = await sendRequest((socket) =>
        socket.end(
          formatResponse(status, [
            ...idHeader,
            'X-Masticlink-Not-Executed: 1',
            'X-Masticlink-Server-Load: 9,4,2,100',
            'Server-Limit: 1',
            'Content-Length: 0',
          ]),
        ),
      );
      t.is(end.kind, 'spoilt');
      t.false('reading' in end || 'limit' in end);
    });
  }
}

// Guards against answering a request with the rejection that arrives behind its own connection's use.
test('a late copy of a rejection is not taken for the answer to the next request', async (t) => {
  const reject = (id: string): string =>
    formatResponse('503 Service Unavailable', [
      `X-Masticlink-Request-Id: ${id}`,
      'X-Masticlink-Not-Executed: 1',
      'Content-Length: 0',
    ]);
  let requestCount = 0;
  const { server, address } = await startTarget((socket) =>
    socket.on('data', () => {
      requestCount += 1;
      socket.write(reject('r-1'));
      if (requestCount > 1) socket.end();
    }),
  );
  const agent = new TargetAgent(1);
  const send = async (id: string): Promise<AttemptResult['kind']> =>
    new Promise((resolve) => {
      const options = {
        agent,
        clock: new SystemClock(),
        memory: new BodyMemory(350, () => 0),
        address,
        method: 'POST',
        path: '/',
      };
      const req: TargetRequest = new TargetRequest({
        ...options,
        headers: ['X-Masticlink-Request-Id', id],
        body: undefined,
        callerRequestId: id,
        classifyHead: (head) => classifyTargetHead(id, head),
        onEnd: (end) => resolve(end.kind),
      });
      t.truthy(req);
    });
  t.is(await send('r-1'), 'rejected');
  t.is(await send('r-2'), 'spoilt');
  t.is(requestCount, 2);
  agent.destroy();
  server.close();
});

// Guards against a pause that a late copy of a rejection begins again.
test('an answer to another request states that the target drains, but asks for no pause', async (t) => {
  const stated = ['X-Masticlink-Request-Id: r-0', 'Retry-After: 1.5', 'Server-Leaving: 1'];
  const { end } = await sendRequest((socket) =>
    socket.end(
      formatResponse('503 Service Unavailable', [
        ...stated,
        'X-Masticlink-Not-Executed: 1',
        'Content-Length: 0',
      ]),
    ),
  );
  t.like(end, { kind: 'spoilt', pauseMs: undefined, isDraining: true });
});
