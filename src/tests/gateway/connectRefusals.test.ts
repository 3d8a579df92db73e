import { connect } from 'node:net';

import test from 'ava';

import type { CallerSocket } from './CallerSocket.js';
import { ALLOWED_MS, CallerSocket as Caller } from './CallerSocket.js';
import { GatewayHarness } from './GatewayHarness.js';

const CONNECT = 'CONNECT door.example:80 HTTP/1.1\r\nHost: door.example\r\n\r\n';

/** More than the buffers between the gateway and its caller hold. */
const LARGE_BYTES = 8_000_000;

/** Longer than a connection whose answer is final stays open for its caller. */
const CLOSE_TIMEOUT_MS = 4_000;

function sendBehindRequest({ socket }: CallerSocket, bytes: string): void {
  socket.write(
    'GET /horaires/x HTTP/1.1\r\nHost: door.example\r\nX-Masticlink-Request-Id: a\r\n' +
      `X-Masticlink-Deadline-Ms: ${ALLOWED_MS}\r\n\r\n${bytes}`,
  );
}

// Guards against an answer that stops at the first full buffer and is cut at its deadline.
test.serial('a large answer is complete although a CONNECT follows its request', async (t) => {
  const harness = await GatewayHarness.start();
  t.teardown(() => harness.stop());
  harness.answerBytes = LARGE_BYTES;
  const caller = await harness.connect();
  sendBehindRequest(caller, CONNECT);
  await harness.waitForStarted(1);
  harness.release('a');
  for (let i = 0; i < 30 && !caller.isEnded; i += 1) await harness.pause(100);
  t.true(caller.received.length > LARGE_BYTES);
  t.deepEqual(caller.statuses, [200, 501]);
});

// Guards against callers that use up all connections by never closing refused ones.
test.serial('a connection ends after a refused CONNECT although its caller keeps it', async (t) => {
  const harness = await GatewayHarness.start();
  t.teardown(() => harness.stop());
  const [port] = harness.ports;
  const socket = connect({ port, host: '127.0.0.1', allowHalfOpen: true });
  t.teardown(() => socket.destroy());
  const caller = new Caller(socket);
  socket.write(CONNECT);
  await harness.waitUntil(() => caller.isEnded);
  const until = performance.now() + CLOSE_TIMEOUT_MS;
  while (!socket.destroyed && performance.now() < until) {
    // A connection that the gateway has closed answers this with a reset.
    socket.write('x');
    await harness.pause(100);
  }
  t.true(socket.destroyed);
});

// Guards against work at a target for a caller that has left.
test.serial('a caller that closes its connection behind a CONNECT is noticed', async (t) => {
  const harness = await GatewayHarness.start();
  t.teardown(() => harness.stop());
  const caller = await harness.connect();
  sendBehindRequest(caller, CONNECT);
  await harness.waitForStarted(1);
  await harness.pause(100);
  caller.socket.end();
  await harness.pause(1_000);
  t.deepEqual(harness.abortedIds, ['a']);
});
