import type { Socket } from 'node:net';

import test from 'ava';

import type { AttemptResult, BalancerEvent, ForwardResult } from '../../balancing/index.js';
import { ActiveRequests } from '../../gateway/ActiveRequests.js';
import { BodyMemory } from '../../gateway/BodyMemory.js';
import { CallerExchange } from '../../gateway/CallerExchange.js';
import { TargetAgents } from '../../gateway/TargetAgents.js';
import { TargetProber } from '../../gateway/TargetProber.js';
import { SystemClock } from '../../timing/index.js';
import { waitUntil } from '../entry/fixtures.js';
import type { CallerSocket } from './CallerSocket.js';
import { ALLOWED_MS } from './CallerSocket.js';
import { GatewayHarness } from './GatewayHarness.js';
import { formatResponse, startTarget } from './rawTarget.js';

const HOST = 'Host: door.example';

/** More than the buffers of a connection hold. */
const LARGE_ANSWER_BYTES = 8_000_000;

function send({ socket }: CallerSocket, requestLine: string, headers: readonly string[]): void {
  const deadline = `X-Masticlink-Deadline-Ms: ${ALLOWED_MS}`;
  socket.write([`${requestLine} HTTP/1.1`, ...headers, deadline, '', ''].join('\r\n'));
}

// A caller takes requests behind an answer that closes its connection as unread and repeats them,
// so that a booking would be made twice.
test('a request behind one without a host is not sent to a target', async (t) => {
  const harness = await GatewayHarness.start();
  t.teardown(() => harness.stop());
  const caller = await harness.connect();
  send(caller, 'POST /horaires/x', [HOST, 'X-Masticlink-Request-Id: a', 'Content-Length: 0']);
  await harness.waitForStarted(1);
  send(caller, 'GET /horaires/x', ['X-Masticlink-Request-Id: b']);
  send(caller, 'POST /horaires/x', [HOST, 'X-Masticlink-Request-Id: c', 'Content-Length: 0']);
  await harness.pause(300);
  harness.release('a');
  await harness.waitUntil(() => caller.isEnded);
  t.deepEqual(caller.statuses, [200, 400]);
  t.deepEqual(harness.startedIds, ['a']);
});

// A caller would take the refusal, which states that nothing has run, for the answer to its booking.
test('a refused CONNECT does not take the place of an open answer', async (t) => {
  const harness = await GatewayHarness.start();
  t.teardown(() => harness.stop());
  const caller = await harness.connect();
  send(caller, 'POST /horaires/x', [HOST, 'X-Masticlink-Request-Id: a', 'Content-Length: 0']);
  await harness.waitForStarted(1);
  send(caller, 'CONNECT door.example:80', [HOST]);
  await harness.pause(100);
  harness.release('a');
  await harness.waitUntil(() => caller.isEnded);
  t.deepEqual(caller.statuses, [200, 501]);
});

// Guards against an answer that stalls, or a connection that stays open, once Node has let go of it.
test('a large answer before a refused CONNECT arrives whole, and the connection ends', async (t) => {
  const harness = await GatewayHarness.start();
  t.teardown(() => harness.stop());
  harness.answerBytes = LARGE_ANSWER_BYTES;
  const { socket } = await harness.connect();
  let receivedBytes = 0;
  socket.removeAllListeners('data');
  socket.on('data', (chunk: Buffer) => {
    receivedBytes += chunk.length;
  });
  const caller = { socket } as CallerSocket;
  send(caller, 'GET /horaires/x', [HOST, 'X-Masticlink-Request-Id: a']);
  await harness.waitForStarted(1);
  send(caller, 'CONNECT door.example:80', [HOST]);
  await harness.pause(100);
  harness.release('a');
  await harness.waitUntil(() => socket.closed);
  t.true(receivedBytes > LARGE_ANSWER_BYTES);
});

// Guards against a target that works for a caller that has left.
test('a caller that leaves behind a refused CONNECT is noticed', async (t) => {
  const harness = await GatewayHarness.start();
  t.teardown(() => harness.stop());
  const caller = await harness.connect();
  send(caller, 'GET /horaires/x', [HOST, 'X-Masticlink-Request-Id: a']);
  await harness.waitForStarted(1);
  send(caller, 'CONNECT door.example:80', [HOST]);
  await harness.pause(100);
  caller.socket.end();
  await harness.waitUntil(() => harness.abortedIds.includes('a'));
  t.deepEqual(harness.abortedIds, ['a']);
});

// A late rejection of one of them would be taken for the answer to the other.
test('requests with an empty id share no connection to a target', async (t) => {
  const harness = await GatewayHarness.start();
  t.teardown(() => harness.stop());
  const caller = await harness.connect();
  for (const count of [1, 2, 3, 4, 5, 6]) {
    send(caller, 'GET /horaires/x', [HOST, 'X-Masticlink-Request-Id:']);
    await harness.waitForStarted(count);
    harness.release('');
    await harness.waitUntil(() => caller.statuses.length === count);
  }
  t.is(harness.targetSockets.size, 6);
});

// Guards against a body whose rest arrives after its caller was told that it came too late.
test('a request whose body was refused as late does not run when the rest arrives', async (t) => {
  const harness = await GatewayHarness.start();
  t.teardown(() => harness.stop());
  const caller = await harness.connect();
  caller.socket.write(
    `POST /horaires/x HTTP/1.1\r\n${HOST}\r\nX-Masticlink-Request-Id: a\r\n` +
      'X-Masticlink-Deadline-Ms: 300\r\nContent-Length: 6\r\n\r\none',
  );
  await harness.waitUntil(() => caller.statuses.length === 1);
  caller.socket.write('two');
  send(caller, 'GET /horaires/x', [HOST, 'X-Masticlink-Request-Id: b']);
  await harness.waitForStarted(1);
  t.deepEqual(harness.startedIds, ['b']);
  t.deepEqual(caller.statuses, [408]);
  harness.release('b');
  await harness.waitUntil(() => caller.statuses.length === 2);
});

/** Passes a request on over a connection on which another one was answered; returns its end. */
async function forwardBehindAnother(refusal: string): Promise<ForwardResult | undefined> {
  const served = formatResponse('200 OK', [
    'X-Masticlink-Request-Id: r-1',
    'X-Masticlink-Response-Signature: 1.2.3',
    'Content-Length: 0',
  ]);
  let requestCount = 0;
  const { server, address } = await startTarget((socket) =>
    socket.on('data', () => {
      requestCount += 1;
      socket.write(requestCount === 1 ? served : refusal);
    }),
  );
  const vmAgents = new TargetAgents();
  const ends: ForwardResult[] = [];
  const requests = new ActiveRequests({
    agents: new TargetAgents(),
    vmAgents,
    clock: new SystemClock(),
    memory: new BodyMemory(350, () => 0),
    dispatch: (event: BalancerEvent) => event.kind === 'forwardEnded' && ends.push(event.end),
    log: () => {},
  });
  for (const [i, id] of ['r-1', 'r-2'].entries()) {
    const req = { method: 'GET', url: '/', rawHeaders: [], headers: {} };
    const headers = ['X-Masticlink-Request-Id', id];
    const exchange = new CallerExchange(req as never, {} as never, headers, undefined, id);
    const terms = { maxTargets: 1, sinceFirstMs: 0, service: 'horaires' };
    const effect = { attempt: i + 1, vm: 'vm-2', allowedMs: ALLOWED_MS, terms } as const;
    const request = requests.add(exchange);
    requests.startForward({ kind: 'forwardRequest', request, ...effect }, address);
    await waitUntil(() => ends.length > i);
  }
  vmAgents.destroy();
  server.close();
  return ends[1];
}

// The VM may run the request: the refusal may be a late one of a request before it.
for (const [name, idHeader] of Object.entries({
  'names another request': ['X-Masticlink-Request-Id: r-1'],
  'names no request': [],
})) {
  test(`a refusal by another VM that ${name} says nothing about the request`, async (t) => {
    const headers = [...idHeader, 'Masticlink-Reason: overloaded', 'Content-Length: 0'];
    const refusal = formatResponse('503 Service Unavailable', headers);
    t.deepEqual(await forwardBehindAnother(refusal), { kind: 'broken' });
  });
}

// Probes share the connections of requests and name none; a target that sheds load rejects both.
test('a late copy of a rejected probe says nothing about the request behind it', async (t) => {
  const rejection = formatResponse('503 Service Unavailable', [
    'X-Masticlink-Not-Executed: 1',
    'X-Masticlink-Server-Load: 0,0,8,100',
    'Content-Length: 0',
  ]);
  const sockets = new Set<Socket>();
  let messageCount = 0;
  const { server, address } = await startTarget((socket) =>
    socket.on('data', () => {
      sockets.add(socket);
      messageCount += 1;
      // To the request, this is the copy of what its predecessor was answered.
      if (messageCount === 1) socket.write(rejection);
      else socket.end(rejection);
    }),
  );
  const agents = new TargetAgents();
  const to = { target: 't-1', bornAt: 1, address };
  const clock = new SystemClock();
  await new Promise<void>((resolve) => {
    new TargetProber(agents, clock, () => resolve()).probe(to, '/health');
  });
  await waitUntil(() => Object.keys(agents.getAgent(to).freeSockets).length > 0);
  const ends: AttemptResult[] = [];
  const requests = new ActiveRequests({
    agents,
    vmAgents: new TargetAgents(),
    clock,
    memory: new BodyMemory(350, () => 0),
    dispatch: (event: BalancerEvent) => event.kind === 'attemptEnded' && ends.push(event.end),
    log: () => {},
  });
  const req = { method: 'GET', url: '/', rawHeaders: [], headers: {} };
  const headers = ['X-Masticlink-Request-Id', 'r-1'];
  const exchange = new CallerExchange(req as never, {} as never, headers, undefined, 'r-1');
  const request = requests.add(exchange);
  requests.startAttempt({ kind: 'sendAttempt', request, attempt: 1, to, allowedMs: ALLOWED_MS });
  await waitUntil(() => ends.length === 1);
  t.is(sockets.size, 1);
  t.is(ends[0].kind, 'spoilt');
  agents.destroy();
  server.close();
});

// Guards against a pause that a late rejection of a request begins again.
test('a late answer to a request asks for no pause where a probe is awaited', async (t) => {
  const late = formatResponse('503 Service Unavailable', [
    'X-Masticlink-Request-Id: r-1',
    'X-Masticlink-Not-Executed: 1',
    'Retry-After: 3',
    'Server-Leaving: 1',
    'Content-Length: 0',
  ]);
  const { server, address } = await startTarget((socket) =>
    socket.on('data', () => socket.write(late)),
  );
  const agents = new TargetAgents();
  const end = await new Promise((resolve) => {
    const prober = new TargetProber(agents, new SystemClock(), (_to, result) => resolve(result));
    prober.probe({ target: 't-1', bornAt: 1, address }, '/health');
  });
  t.like(end, { kind: 'broken', pauseMs: undefined, isDraining: true });
  agents.destroy();
  server.close();
});
