import { EventEmitter } from 'node:events';
import type { ServerResponse } from 'node:http';
import type { Socket } from 'node:net';

import type { ExecutionContext } from 'ava';
import test from 'ava';

import { CallerConnection } from '../../entry/api/CallerConnection.js';
import { GatewayScene } from './GatewayScene.js';

/** Requests of one connection that are at targets at a time. */
const MOST_SERVED = 16;

async function startScene(t: ExecutionContext): Promise<GatewayScene> {
  const scene = await GatewayScene.start();
  t.teardown(() => scene.stop());
  return scene;
}

function countRuns({ runs }: GatewayScene): number {
  return new Set(runs).size;
}

test('a slow first request holds back neither the next one nor its log line', async (t) => {
  // A caller sends two requests at once, and the first takes long. The second must run meanwhile, and
  // the log must tell its end when it is known, though its caller gets it after the first.
  const scene = await startScene(t);
  const caller = await scene.connect();
  caller.ask('a', 'b');
  await scene.untilRuns(2);
  scene.release('b');
  await scene.until(() =>
    scene.lines.some(({ event, id }) => event === 'request.answered' && id === 'b'),
  );
  t.deepEqual(caller.statuses, []);
  scene.release('a');
  await scene.until(() => caller.statuses.length === 2);
  t.deepEqual(caller.answered, ['a', 'b']);
});

test('a planned stop closes a connection with the last answer that is owed on it', async (t) => {
  // An operator replaces an entry VM while two requests of one caller run. Closed with the first
  // answer, the second would have run for nobody, and its caller would send it again.
  const scene = await startScene(t);
  const caller = await scene.connect();
  caller.ask('a', 'b');
  await scene.untilRuns(2);
  scene.beginStop();
  scene.release('a');
  await scene.until(() => caller.statuses.length === 1);
  t.notRegex(caller.text, /connection: close/i);
  scene.release('b');
  await scene.until(() => caller.isEnded);
  t.deepEqual(caller.answered, ['a', 'b']);
  t.regex(caller.text, /connection: close/i);
});

test('what stands behind an answer that closes the connection goes to no target', async (t) => {
  // The caller takes such a request for not read and sends it again, whatever its kind. Passed on all
  // the same, a booking would be made twice.
  const scene = await startScene(t);
  const caller = await scene.connect();
  caller.ask('a');
  await scene.untilRuns(1);
  scene.beginStop();
  caller.ask('b', 'c');
  await scene.pause(200);
  scene.release('a');
  scene.release('b');
  await scene.until(() => caller.isEnded);
  t.deepEqual(scene.runs, ['a']);
  t.deepEqual(caller.answered, ['a']);
});

test('a request during a stop is served, and what stands behind it is not', async (t) => {
  // A caller that does not know of the stop yet sends two requests into an idle connection.
  const scene = await startScene(t);
  const caller = await scene.connect();
  scene.beginStop();
  caller.ask('a', 'b');
  await scene.untilRuns(1);
  await scene.pause(100);
  scene.release('a');
  await scene.until(() => caller.isEnded);
  t.deepEqual(scene.runs, ['a']);
  t.deepEqual(caller.statuses, [200]);
});

test('a head that is none is refused after the requests before it are answered', async (t) => {
  // A caller's second request is damaged. The connection ended at once, and with it the answer to the
  // first, at which a target was at work.
  const scene = await startScene(t);
  const caller = await scene.connect();
  caller.ask('a');
  await scene.untilRuns(1);
  caller.socket.write('BROKEN\r\n\r\n');
  await scene.pause(100);
  scene.release('a');
  await scene.until(() => caller.isEnded);
  t.deepEqual(caller.statuses, [200, 400]);
});

test('a body that breaks off is refused after the requests before it are answered', async (t) => {
  // The second request's body is not in the form that its head says.
  const scene = await startScene(t);
  const caller = await scene.connect();
  caller.ask('a');
  await scene.untilRuns(1);
  caller.socket.write(
    'POST /horaires/x HTTP/1.1\r\nHost: door.example\r\nTransfer-Encoding: chunked\r\n\r\nnot hex\r\n',
  );
  await scene.pause(100);
  scene.release('a');
  await scene.until(() => caller.isEnded);
  t.deepEqual(caller.statuses, [200, 400]);
  t.deepEqual(scene.runs, ['a']);
});

test('a body that is too large does not cut the answer before it', async (t) => {
  // The rest of a refused body is read for two seconds; then the connection ended, although the
  // first request's answer was still to come.
  const scene = await startScene(t);
  const caller = await scene.connect();
  caller.ask('a');
  await scene.untilRuns(1);
  caller.socket.write(
    `POST /horaires/x HTTP/1.1\r\nHost: door.example\r\nContent-Length: 9000\r\n\r\n${'x'.repeat(5_000)}`,
  );
  await scene.pause(2_300);
  scene.release('a');
  await scene.until(() => caller.statuses.length === 2);
  t.deepEqual(caller.statuses, [200, 413]);
});

test('a caller that resets withdraws all of its requests', async (t) => {
  // A caller sends three requests and goes away. Only the first was withdrawn at its target; the
  // others kept their slots until their time was over, while nobody waited for them.
  const scene = await startScene(t);
  const caller = await scene.connect();
  caller.ask('a', 'b', 'c');
  await scene.untilRuns(3);
  caller.socket.resetAndDestroy();
  await scene.until(() => scene.withdrawn.length === 3);
  t.deepEqual([...scene.withdrawn].sort(), ['a', 'b', 'c']);
  t.is(scene.gateway.state.journeys.size, 0);
});

test('one connection has a bounded number of requests at targets', async (t) => {
  // A caller that sends thousands of requests at once must not take all slots and all memory.
  const scene = await startScene(t);
  const caller = await scene.connect();
  const ids = Array.from({ length: 3 * MOST_SERVED }, (_, i) => `r-${i}`);
  caller.ask(...ids);
  await scene.untilRuns(MOST_SERVED);
  await scene.pause(200);
  t.is(countRuns(scene), MOST_SERVED);
  let ended = 0;
  while (ended < ids.length) {
    await scene.untilRuns(ended + 1);
    scene.release(scene.runs[ended]);
    ended += 1;
  }
  await scene.until(() => caller.statuses.length === ids.length);
  t.deepEqual(caller.answered, ids);
});

test('a request that waited for room on its connection has that much less time', (t) => {
  // The seventeenth request of a connection waits until one before it is answered. Its target would
  // else be given time that its caller no longer waits.
  const held: number[] = [];
  const socket = Object.assign(new EventEmitter(), { pause() {}, resume() {} });
  const connection = new CallerConnection(socket as unknown as Socket);
  const answers = Array.from({ length: MOST_SERVED + 1 }, () =>
    Object.assign(new EventEmitter(), { shouldKeepAlive: true, writableLength: 0 }),
  );
  for (const res of answers) {
    connection.take(res as unknown as ServerResponse, false, (heldMs) => held.push(heldMs));
  }
  t.is(held.length, MOST_SERVED);
  const until = performance.now() + 20;
  while (performance.now() < until);
  answers[0].emit('close');
  t.is(held.length, MOST_SERVED + 1);
  t.true(held[MOST_SERVED] >= 20);
});

test('answers that wait for their turn stop the reading at a bound', async (t) => {
  // The first of many requests hangs while the others are answered with 60 KB each. Without a bound
  // a few such connections fill the memory of a small VM.
  const scene = await startScene(t);
  scene.answerBytes = 60_000;
  const caller = await scene.connect();
  const first = ['r-0', 'r-1', 'r-2', 'r-3', 'r-4', 'r-5'];
  caller.ask(...first);
  await scene.untilRuns(first.length);
  for (const id of first.slice(1)) scene.release(id);
  await scene.pause(200);
  const later = ['r-6', 'r-7', 'r-8'];
  caller.ask(...later);
  await scene.pause(200);
  t.is(countRuns(scene), first.length);
  t.deepEqual(caller.statuses, []);
  scene.release('r-0');
  await scene.untilRuns(first.length + later.length);
  for (const id of later) scene.release(id);
  await scene.until(() => caller.statuses.length === first.length + later.length);
  t.deepEqual(caller.answered, [...first, ...later]);
});
