import test from 'ava';

import type { CallerSocket } from './CallerSocket.js';
import { GatewayHarness } from './GatewayHarness.js';

const MB = 1024 * 1024;
const UPLOAD_BYTES = 30 * MB;

/** Sends the head of an upload and the first part of its body. */
function beginUpload({ socket }: CallerSocket, lines: readonly string[], body = 'x'): void {
  const head = ['POST /horaires/x HTTP/1.1', 'Host: door.example', ...lines, '', body];
  socket.write(head.join('\r\n'));
}

function describeLength(bytes: number, deadlineMs = 30_000): string[] {
  return [`Content-Length: ${bytes}`, `X-Masticlink-Deadline-Ms: ${deadlineMs}`];
}

// Guards against a process that is killed as the bodies of its callers exceed its memory.
test('a body for which there is no memory is refused before it is read', async (t) => {
  const harness = await GatewayHarness.start({ bodyBytes: 64 * MB });
  t.teardown(() => harness.stop());
  const callers = await Promise.all([1, 2, 3, 4].map(() => harness.connect()));
  for (const caller of callers) {
    beginUpload(caller, describeLength(UPLOAD_BYTES));
    await harness.pause(20);
  }
  const last = callers[3];
  await harness.waitUntil(() => last.statuses.length === 1);
  t.deepEqual(
    callers.map(({ statuses }) => statuses),
    [[], [], [], [503]],
  );
  t.regex(last.received, /Retry-After: [\d.]+/i);
  t.true(harness.logLines.some(({ event }) => event === 'request.refused'));
  // Small requests go on, and memory is free again once a caller has left.
  last.socket.destroy();
  const small = await harness.connect();
  beginUpload(small, [...describeLength(5), 'X-Masticlink-Request-Id: r-1'], 'order');
  await harness.waitForStarted(1);
  harness.release('r-1');
  await harness.waitUntil(() => small.statuses.length === 1);
  t.deepEqual(small.statuses, [200]);
  callers[0].socket.destroy();
  const next = await harness.connect();
  await harness.pause(100);
  beginUpload(next, describeLength(UPLOAD_BYTES));
  await harness.pause(800);
  t.deepEqual(next.statuses, []);
});

// Guards against memory that callers of unknown bodies take without a bound.
test('a chunked body is refused once there is no more memory for it', async (t) => {
  const harness = await GatewayHarness.start({ bodyBytes: 512 * MB });
  t.teardown(() => harness.stop());
  const caller = await harness.connect();
  beginUpload(caller, ['Transfer-Encoding: chunked'], '');
  const chunk = Buffer.alloc(MB, 'x');
  for (let i = 0; i < 80 && caller.statuses.length === 0; i += 1) {
    caller.socket.write(`${MB.toString(16)}\r\n`);
    caller.socket.write(chunk);
    caller.socket.write('\r\n');
    await harness.pause(5);
  }
  await harness.waitUntil(() => caller.statuses.length === 1);
  t.deepEqual(caller.statuses, [503]);
});

// Guards against memory that a caller holds for good with a body that it never sends.
test('a body that has not arrived by the deadline is refused', async (t) => {
  const harness = await GatewayHarness.start({ bodyBytes: 64 * MB });
  t.teardown(() => harness.stop());
  const caller = await harness.connect();
  beginUpload(caller, describeLength(UPLOAD_BYTES, 300));
  await harness.waitUntil(() => caller.statuses.length === 1);
  t.deepEqual(caller.statuses, [408]);
});

// Guards against a body whose parts are put together in the wrong places.
test('a body that arrives in parts reaches the target unchanged', async (t) => {
  const harness = await GatewayHarness.start({ bodyBytes: 64 * MB });
  t.teardown(() => harness.stop());
  const caller = await harness.connect();
  const lines = [...describeLength(9), 'X-Masticlink-Request-Id: r-1'];
  beginUpload(caller, lines, 'one');
  await harness.pause(20);
  caller.socket.write('two');
  await harness.pause(20);
  caller.socket.write('six');
  await harness.waitForStarted(1);
  await harness.waitUntil(() => harness.lastBody.length === 9);
  t.is(harness.lastBody, 'onetwosix');
  harness.release('r-1');
  await harness.waitUntil(() => caller.statuses.length === 1);
});
