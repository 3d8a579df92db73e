import { EventEmitter } from 'node:events';
import type { ServerResponse } from 'node:http';
import type { Socket } from 'node:net';

import type { ExecutionContext } from 'ava';
import test from 'ava';

import { CallerConnection } from '../../entry/api/CallerConnection.js';
import { GatewayHarness } from './GatewayHarness.js';

/** Requests of one connection that are at targets at the same time. */
const MAX_SERVED = 16;

async function startHarness(t: ExecutionContext): Promise<GatewayHarness> {
  const harness = await GatewayHarness.start();
  t.teardown(() => harness.stop());
  return harness;
}

function countStarted({ startedIds: runs }: GatewayHarness): number {
  return new Set(runs).size;
}

test('a slow first request delays neither the next one nor its log line', async (t) => {
  // A caller sends two requests at once, and the first one is slow. The second must run meanwhile
  // and be logged as soon as it is answered, although its answer is sent only after the first
  // one's.
  const harness = await startHarness(t);
  const caller = await harness.connect();
  caller.sendRequests('a', 'b');
  await harness.waitForStarted(2);
  harness.release('b');
  await harness.waitUntil(() =>
    harness.logLines.some(({ event, id }) => event === 'request.answered' && id === 'b'),
  );
  t.deepEqual(caller.statuses, []);
  harness.release('a');
  await harness.waitUntil(() => caller.statuses.length === 2);
  t.deepEqual(caller.answeredIds, ['a', 'b']);
});

test('a planned stop closes a connection with the last pending answer', async (t) => {
  // An operator replaces an entry VM while two requests of one connection run. If the connection
  // was closed with the first answer, the second answer would be lost and its request sent again.
  const harness = await startHarness(t);
  const caller = await harness.connect();
  caller.sendRequests('a', 'b');
  await harness.waitForStarted(2);
  harness.beginStop();
  harness.release('a');
  await harness.waitUntil(() => caller.statuses.length === 1);
  t.notRegex(caller.received, /connection: close/i);
  harness.release('b');
  await harness.waitUntil(() => caller.isEnded);
  t.deepEqual(caller.answeredIds, ['a', 'b']);
  t.regex(caller.received, /connection: close/i);
});

test('requests after an answer that closes the connection are not sent to a target', async (t) => {
  // The caller assumes that such a request was not read and sends it again, whatever its method. If
  // it was forwarded as well, a booking would be made twice.
  const harness = await startHarness(t);
  const caller = await harness.connect();
  caller.sendRequests('a');
  await harness.waitForStarted(1);
  harness.beginStop();
  caller.sendRequests('b', 'c');
  await harness.pause(200);
  harness.release('a');
  harness.release('b');
  await harness.waitUntil(() => caller.isEnded);
  t.deepEqual(harness.startedIds, ['a']);
  t.deepEqual(caller.answeredIds, ['a']);
});

test('during a stop an idle connection serves one more request and none after it', async (t) => {
  // A caller that does not know of the stop yet sends two requests on an idle connection.
  const harness = await startHarness(t);
  const caller = await harness.connect();
  harness.beginStop();
  caller.sendRequests('a', 'b');
  await harness.waitForStarted(1);
  await harness.pause(100);
  harness.release('a');
  await harness.waitUntil(() => caller.isEnded);
  t.deepEqual(harness.startedIds, ['a']);
  t.deepEqual(caller.statuses, [200]);
});

test('a malformed head is refused after the requests before it are answered', async (t) => {
  // A caller's second request is malformed. If the connection was closed at once, the answer to the
  // first request, which a target is still processing, would be lost.
  const harness = await startHarness(t);
  const caller = await harness.connect();
  caller.sendRequests('a');
  await harness.waitForStarted(1);
  caller.socket.write('BROKEN\r\n\r\n');
  await harness.pause(100);
  harness.release('a');
  await harness.waitUntil(() => caller.isEnded);
  t.deepEqual(caller.statuses, [200, 400]);
});

test('a malformed body is refused after the requests before it are answered', async (t) => {
  // The second request's body does not have the encoding that its head declares.
  const harness = await startHarness(t);
  const caller = await harness.connect();
  caller.sendRequests('a');
  await harness.waitForStarted(1);
  caller.socket.write(
    'POST /horaires/x HTTP/1.1\r\nHost: door.example\r\nTransfer-Encoding: chunked\r\n\r\nnot hex\r\n',
  );
  await harness.pause(100);
  harness.release('a');
  await harness.waitUntil(() => caller.isEnded);
  t.deepEqual(caller.statuses, [200, 400]);
  t.deepEqual(harness.startedIds, ['a']);
});

test('a body that is too large does not cut off the answer before it', async (t) => {
  // The rest of a refused body is read for two seconds. If the connection was closed then, the
  // answer to the first request, which takes longer, would be lost.
  const harness = await startHarness(t);
  const caller = await harness.connect();
  caller.sendRequests('a');
  await harness.waitForStarted(1);
  caller.socket.write(
    `POST /horaires/x HTTP/1.1\r\nHost: door.example\r\nContent-Length: 9000\r\n\r\n${'x'.repeat(5_000)}`,
  );
  await harness.pause(2_300);
  harness.release('a');
  await harness.waitUntil(() => caller.statuses.length === 2);
  t.deepEqual(caller.statuses, [200, 413]);
});

test('a reset by the caller cancels all of its requests', async (t) => {
  // A caller sends three requests and disconnects. If only the first was cancelled at its target,
  // the others would occupy slots until they time out, although nobody waits for them.
  const harness = await startHarness(t);
  const caller = await harness.connect();
  caller.sendRequests('a', 'b', 'c');
  await harness.waitForStarted(3);
  caller.socket.resetAndDestroy();
  await harness.waitUntil(() => harness.abortedIds.length === 3);
  t.deepEqual([...harness.abortedIds].sort(), ['a', 'b', 'c']);
  t.is(harness.gateway.state.pendingRequests.size, 0);
});

test('the number of requests that one connection has at targets is limited', async (t) => {
  // A caller that sends thousands of requests at once must not occupy all slots and all memory.
  const harness = await startHarness(t);
  const caller = await harness.connect();
  const ids = Array.from({ length: 3 * MAX_SERVED }, (_, i) => `r-${i}`);
  caller.sendRequests(...ids);
  await harness.waitForStarted(MAX_SERVED);
  await harness.pause(200);
  t.is(countStarted(harness), MAX_SERVED);
  let ended = 0;
  while (ended < ids.length) {
    await harness.waitForStarted(ended + 1);
    harness.release(harness.startedIds[ended]);
    ended += 1;
  }
  await harness.waitUntil(() => caller.statuses.length === ids.length);
  t.deepEqual(caller.answeredIds, ids);
});

test('the time that a request was queued on its connection is deducted from its timeout', (t) => {
  // The seventeenth request of a connection is queued until an earlier one is answered. Otherwise
  // its target would be granted time that the caller no longer waits.
  const held: number[] = [];
  const socket = Object.assign(new EventEmitter(), { pause() {}, resume() {} });
  const connection = new CallerConnection(socket as unknown as Socket);
  const answers = Array.from({ length: MAX_SERVED + 1 }, () =>
    Object.assign(new EventEmitter(), { shouldKeepAlive: true, writableLength: 0 }),
  );
  for (const res of answers) {
    connection.acceptRequest(res as unknown as ServerResponse, false, (heldMs) =>
      held.push(heldMs),
    );
  }
  t.is(held.length, MAX_SERVED);
  const until = performance.now() + 20;
  while (performance.now() < until);
  answers[0].emit('close');
  t.is(held.length, MAX_SERVED + 1);
  t.true(held[MAX_SERVED] >= 20);
});

test('reading from a connection stops when its buffered answers reach a limit', async (t) => {
  // The first of many requests hangs while the others are answered with 60 KB each. Without a limit
  // a few such connections would fill the memory of a small VM.
  const harness = await startHarness(t);
  harness.answerBytes = 60_000;
  const caller = await harness.connect();
  const first = ['r-0', 'r-1', 'r-2', 'r-3', 'r-4', 'r-5'];
  caller.sendRequests(...first);
  await harness.waitForStarted(first.length);
  for (const id of first.slice(1)) harness.release(id);
  await harness.pause(200);
  const later = ['r-6', 'r-7', 'r-8'];
  caller.sendRequests(...later);
  await harness.pause(200);
  t.is(countStarted(harness), first.length);
  t.deepEqual(caller.statuses, []);
  harness.release('r-0');
  await harness.waitForStarted(first.length + later.length);
  for (const id of later) harness.release(id);
  await harness.waitUntil(() => caller.statuses.length === first.length + later.length);
  t.deepEqual(caller.answeredIds, [...first, ...later]);
});
