import type { Server, Socket } from 'node:net';

import test from 'ava';

import type { AttemptResult } from '../../balancing/index.js';
import { BodyMemory } from '../../gateway/BodyMemory.js';
import { TargetAgent } from '../../gateway/TargetAgent.js';
import { classifyTargetHead, TargetRequest } from '../../gateway/TargetRequest.js';
import { SystemClock } from '../../timing/index.js';
import { waitUntil } from '../entry/fixtures.js';
import { formatResponse, startTarget } from './rawTarget.js';

const REJECTION = ['X-Masticlink-Request-Id: r-1', 'X-Masticlink-Not-Executed: 1'];
const CHUNK = `4000\r\n${'x'.repeat(0x4000)}\r\n`;

/** Answers that a faulty target begins, and what it then repeats until its caller closes. */
const ENDLESS_ANSWERS: Readonly<
  Record<
    string,
    { readonly start: string; readonly more: string; readonly end: AttemptResult['kind'] }
  >
> = {
  'interim answers': { start: '', more: 'HTTP/1.1 102 Processing\r\n\r\n', end: 'spoilt' },
  'a status line': { start: 'HTTP/1.1 200 ', more: 'x'.repeat(0x4000), end: 'broken' },
  'header lines': {
    start: 'HTTP/1.1 200 OK\r\n',
    more: `X: ${'x'.repeat(0x1000)}\r\n`,
    end: 'broken',
  },
  'the chunked body of a rejection': {
    start: formatResponse('503 Busy', [...REJECTION, 'Transfer-Encoding: chunked']),
    more: CHUNK,
    end: 'rejected',
  },
  'the body of a rejection that ends with its connection': {
    start: formatResponse('503 Busy', REJECTION),
    more: 'x'.repeat(0x4000),
    end: 'rejected',
  },
  'bytes after a complete rejection': {
    start: formatResponse('503 Busy', [...REJECTION, 'Content-Length: 0']),
    more: 'x'.repeat(0x4000),
    end: 'rejected',
  },
};

interface EndlessTarget {
  readonly server: Server;
  readonly address: string;
  readonly sockets: readonly Socket[];
}

/** Starts a target that answers without end, every `periodMs`. */
async function startEndlessTarget(
  start: string,
  more: string,
  periodMs: number,
): Promise<EndlessTarget> {
  const sockets: Socket[] = [];
  const { server, address } = await startTarget((socket) => {
    sockets.push(socket);
    socket.once('data', () => {
      socket.write(start);
      const timer = setInterval(() => socket.write(more), periodMs);
      socket.once('close', () => clearInterval(timer));
    });
  });
  return { server, address, sockets };
}

function send(address: string, agent: TargetAgent): Promise<AttemptResult['kind']> {
  return new Promise((resolve) => {
    const req: TargetRequest = new TargetRequest({
      agent,
      clock: new SystemClock(),
      memory: new BodyMemory(350, () => 0),
      address,
      method: 'GET',
      path: '/',
      headers: ['X-Masticlink-Request-Id', 'r-1'],
      body: undefined,
      classifyHead: (head) => classifyTargetHead('r-1', head),
      onEnd: (end) => resolve(end.kind),
    });
    if (req.answer !== undefined) throw new Error('answered before it was sent');
  });
}

for (const [name, { start, more, end }] of Object.entries(ENDLESS_ANSWERS)) {
  // Guards against a connection that a faulty target holds for good, and bytes read without a bound.
  test(`a connection is closed at ${name} without end`, async (t) => {
    const { server, address, sockets } = await startEndlessTarget(start, more, 1);
    const agent = new TargetAgent(4);
    t.is(await send(address, agent), end);
    await waitUntil(() => sockets.every(({ destroyed }) => destroyed));
    t.true(sockets.every(({ bytesWritten }) => bytesWritten < 4 * 1024 * 1024));
    agent.destroy();
    server.close();
  });
}

// Guards against a connection that is held by a rejection whose body comes byte by byte.
test('the body of a rejection that comes slowly is not read for long', async (t) => {
  const head = formatResponse('503 Busy', [...REJECTION, 'Transfer-Encoding: chunked']);
  const { server, address, sockets } = await startEndlessTarget(head, '1\r\nx\r\n', 100);
  const agent = new TargetAgent(4);
  t.is(await send(address, agent), 'rejected');
  await waitUntil(() => sockets.every(({ destroyed }) => destroyed));
  t.is(Object.keys(agent.sockets).length, 0);
  agent.destroy();
  server.close();
});

// Guards against new connections for requests behind a rejection that has a usual body.
test('the connection of a rejection with a body is used again', async (t) => {
  let connectionCount = 0;
  const { server, address } = await startTarget((socket) => {
    connectionCount += 1;
    const response = formatResponse('503 Busy', [...REJECTION, 'Content-Length: 5'], 'later');
    socket.on('data', () => socket.write(response));
  });
  const agent = new TargetAgent(4);
  t.is(await send(address, agent), 'rejected');
  await waitUntil(() => Object.keys(agent.freeSockets).length === 1);
  t.is(await send(address, agent), 'rejected');
  t.is(connectionCount, 1);
  agent.destroy();
  server.close();
});
