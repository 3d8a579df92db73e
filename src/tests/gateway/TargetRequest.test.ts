import test from 'ava';

import type { AttemptResult } from '../../balancing/index.js';
import { BodyMemory } from '../../gateway/BodyMemory.js';
import { TargetAgent } from '../../gateway/TargetAgent.js';
import { classifyTargetHead, TargetRequest } from '../../gateway/TargetRequest.js';
import { SystemClock } from '../../timing/index.js';
import { formatResponse, sendRequest, startTarget, VALID_HEADERS } from './rawTarget.js';

/** Blocks the event loop, so that everything received meanwhile is read at once. */
function blockFor(ms: number): void {
  const endsAt = Date.now() + ms;
  while (Date.now() < endsAt);
}

test('a complete answer can be delivered', async (t) => {
  const { end, answer } = await sendRequest((socket) =>
    socket.write(formatResponse('200 OK', [...VALID_HEADERS, 'Content-Length: 4'], 'full')),
  );
  t.is(end.kind, 'answered');
  t.is(answer?.body.toString(), 'full');
  t.is(end.kind === 'answered' ? end.reading?.running : undefined, 1);
});

test('an answer without a length that ends with its connection is complete', async (t) => {
  const { end, answer } = await sendRequest((socket) =>
    socket.end(formatResponse('200 OK', VALID_HEADERS, 'all of it')),
  );
  t.is(end.kind, 'answered');
  t.is(answer?.body.toString(), 'all of it');
});

test('an answer without a length is broken if a reset arrives with its last bytes', async (t) => {
  // A target crashes while it sends an answer without a length. The reset arrives together with the
  // last bytes, so the system reports an ordinary end, and the caller would receive a truncated
  // answer that looks complete.
  const { end, answer } = await sendRequest((socket) => {
    socket.write(formatResponse('200 OK', VALID_HEADERS, 'half of'), () => {
      socket.resetAndDestroy();
      blockFor(20);
    });
  });
  t.is(end.kind, 'broken');
  t.is(answer, undefined);
});

test('an answer shorter than its declared length is broken', async (t) => {
  // A target closes the connection in the middle of its answer. The caller must not receive the
  // truncated answer as a complete one.
  const { end } = await sendRequest((socket) =>
    socket.end(formatResponse('200 OK', [...VALID_HEADERS, 'Content-Length: 10'], 'part')),
  );
  t.is(end.kind, 'broken');
});

test('a success without a signature is not accepted as an answer', async (t) => {
  // A faulty target sends bytes that it did not sign. The caller would take them for the answer to
  // its request.
  const { end } = await sendRequest((socket) =>
    socket.write(formatResponse('200 OK', [VALID_HEADERS[0], 'Content-Length: 4'], 'fake')),
  );
  t.is(end.kind, 'spoilt');
});

test('an encoded answer is not accepted', async (t) => {
  // Something between the target and this VM encoded the body although no encoding was requested.
  // The caller could not read it.
  for (const headers of [
    ['Content-Encoding: gzip', 'Content-Length: 1'],
    ['Transfer-Encoding: gzip'],
    ['Transfer-Encoding: gzip, chunked'],
  ]) {
    const { end } = await sendRequest((socket) =>
      socket.end(formatResponse('200 OK', [...VALID_HEADERS, ...headers], '1\r\nx\r\n0\r\n\r\n')),
    );
    t.is(end.kind, 'spoilt', headers[0]);
  }
});

test('a rejection by the target means that the request has not run', async (t) => {
  const { end } = await sendRequest((socket) =>
    socket.write(
      formatResponse('503 Service Unavailable', [
        VALID_HEADERS[0],
        'X-Masticlink-Not-Executed: 1',
        'Content-Length: 0',
      ]),
    ),
  );
  t.is(end.kind, 'rejected');
});

test('a misdirected request has not run at the target that now has the address', async (t) => {
  // A target ended and its address was reassigned to another one before this VM was informed.
  for (const headers of [[], ['X-Masticlink-Not-Executed: 1', 'X-Masticlink-Server-Load: 0,0,2']]) {
    const { end } = await sendRequest((socket) =>
      socket.write(
        formatResponse('421 Misdirected Request', [
          VALID_HEADERS[0],
          ...headers,
          'Content-Length: 0',
        ]),
      ),
    );
    t.is(end.kind, 'misdirected');
  }
});

test('what an answer states about its target is reported, whatever becomes of the request', async (t) => {
  const stated = ['Retry-After: 1.5', 'Server-Leaving: 1', 'Content-Length: 0'];
  const cases = {
    rejected: formatResponse('503 Service Unavailable', [
      VALID_HEADERS[0],
      'X-Masticlink-Not-Executed: 1',
      ...stated,
    ]),
    answered: formatResponse('503 Service Unavailable', [...VALID_HEADERS, ...stated]),
    spoilt: formatResponse('503 Service Unavailable', [
      ...VALID_HEADERS,
      'Content-Encoding: gzip',
      ...stated,
    ]),
  };
  for (const [kind, response] of Object.entries(cases)) {
    const { end } = await sendRequest((socket) => socket.write(response));
    t.like(end, { kind: kind as AttemptResult['kind'], pauseMs: 1_500, isDraining: true });
  }
  // They concern the target that now has the address.
  const { end } = await sendRequest((socket) =>
    socket.write(formatResponse('421 Misdirected Request', [VALID_HEADERS[0], ...stated])),
  );
  t.deepEqual(end, { kind: 'misdirected' });
});

// The target counts on a rejection that it has sent, although the attempt is cancelled meanwhile.
test('the statements of an answer that crosses the cancel of its request are read', async (t) => {
  let req: TargetRequest | undefined;
  const { server, address } = await startTarget((socket) => {
    const response = formatResponse('503 Service Unavailable', [
      'X-Masticlink-Not-Executed: 1',
      'Retry-After: 3',
      'Content-Length: 0',
    ]);
    socket.once('data', () => {
      req?.cancel();
      socket.write(response);
    });
  });
  const agent = new TargetAgent(4);
  const statements = await new Promise((resolve) => {
    req = new TargetRequest({
      agent,
      clock: new SystemClock(),
      memory: new BodyMemory(350, () => 0),
      address,
      method: 'GET',
      path: '/',
      headers: [],
      body: undefined,
      classifyHead: (head) => classifyTargetHead(undefined, head),
      onEnd: () => t.fail(),
      onLateStatements: resolve,
    });
    setTimeout(() => resolve(undefined), 1_000);
  });
  t.like(statements, { pauseMs: 3_000, isDraining: false });
  agent.destroy();
  server.close();
});

test('a status that wrongly implies that the request has not run is not forwarded', async (t) => {
  // A target answers 503 without confirming that it has not run the request. If this was forwarded,
  // the caller would conclude that it may retry, and a booking would be made twice.
  const { end, answer } = await sendRequest((socket) =>
    socket.write(
      formatResponse('503 Service Unavailable', [...VALID_HEADERS, 'Content-Length: 0']),
    ),
  );
  t.deepEqual(end.kind === 'answered' ? end.status : undefined, 503);
  t.is(answer?.status, 502);
  t.deepEqual(answer?.headers, []);
});

test('a request counts as unsent if no connection was established', async (t) => {
  const agent = new TargetAgent(4);
  const end = await new Promise<AttemptResult>((resolve) => {
    const targetRequest = new TargetRequest({
      agent,
      clock: new SystemClock(),
      memory: new BodyMemory(350, () => 0),
      address: '127.0.0.1:1',
      method: 'GET',
      path: '/',
      headers: [],
      body: undefined,
      classifyHead: (head) => classifyTargetHead(undefined, head),
      onEnd: resolve,
    });
    t.truthy(targetRequest);
  });
  t.is(end.kind, 'unsent');
});

// A target that pauses meanwhile would get it long after it has rejected another one.
test('a request that gets no connection because all are in use is unsent after a quarter second', async (t) => {
  let arrivedCount = 0;
  const { server, address } = await startTarget((socket) =>
    socket.on('data', () => {
      arrivedCount += 1;
    }),
  );
  const agent = new TargetAgent(1);
  const send = (onEnd: (end: AttemptResult) => void): TargetRequest =>
    new TargetRequest({
      agent,
      clock: new SystemClock(),
      memory: new BodyMemory(350, () => 0),
      address,
      method: 'GET',
      path: '/',
      headers: [],
      body: undefined,
      classifyHead: (head) => classifyTargetHead(undefined, head),
      onEnd,
    });
  const first = send(() => {});
  const startedAt = performance.now();
  const end = await new Promise<AttemptResult>((resolve) => {
    t.truthy(send(resolve));
  });
  t.is(end.kind, 'unsent');
  t.true(performance.now() - startedAt < 500);
  t.is(arrivedCount, 1);
  first.cancel();
  agent.destroy();
  server.close();
});

test('the headers added to a request name its only target and the remaining time', async (t) => {
  let received = '';
  await sendRequest(
    (socket, request) => {
      received = request;
      socket.write(formatResponse('200 OK', [...VALID_HEADERS, 'Content-Length: 0']));
    },
    { body: Buffer.from('three') },
  );
  t.snapshot(received.replace(/127\.0\.0\.1:\d+/, 'ADDRESS'));
});
