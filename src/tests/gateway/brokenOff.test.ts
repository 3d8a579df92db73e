import type { Socket } from 'node:net';

import type { ExecutionContext } from 'ava';
import test from 'ava';

import { ALLOWED_MS } from './CallerSocket.js';
import type { CallerSocket } from './CallerSocket.js';
import { GatewayHarness } from './GatewayHarness.js';
import { formatResponse, startTarget, VALID_HEADERS } from './rawTarget.js';

/** More than the gateway buffers before it starts to send an answer. */
const STREAMED_BYTES = 300_000;

const HEALTH_HEADERS = [
  'X-Masticlink-Instance-Id: t-1',
  'X-Masticlink-Server-Load: 0,0,64,100',
  'Content-Length: 0',
];

const LAST_CHUNK = '\r\n0\r\n\r\n';

interface Scene {
  readonly harness: GatewayHarness;
  readonly caller: CallerSocket;
  /** Connection on which the target has begun its answer. */
  readonly target: Socket;
}

/** Starts a request whose answer has begun to reach its caller. */
async function startScene(
  t: ExecutionContext,
  httpVersion: '1.0' | '1.1',
  headers: readonly string[] = [],
): Promise<Scene> {
  const answered: Socket[] = [];
  const { server, address } = await startTarget((socket) =>
    socket.on('data', (data) => {
      if (data.toString().startsWith('GET /health')) {
        socket.write(formatResponse('200 OK', HEALTH_HEADERS));
        return;
      }
      const head = [...VALID_HEADERS, ...headers];
      socket.write(formatResponse('200 OK', head, 'x'.repeat(STREAMED_BYTES)));
      answered.push(socket);
    }),
  );
  const harness = await GatewayHarness.start({ targetAddress: address });
  t.teardown(async () => {
    await harness.stop();
    server.close();
  });
  const caller = await harness.connect();
  caller.socket.write(
    `GET /horaires/x HTTP/${httpVersion}\r\nHost: door.example\r\n` +
      `X-Masticlink-Request-Id: r-1\r\nX-Masticlink-Deadline-Ms: ${ALLOWED_MS}\r\n\r\n`,
  );
  await harness.waitUntil(() => caller.received.length > STREAMED_BYTES);
  return { harness, caller, target: answered[0] };
}

/** How a target breaks off an answer that ends with its connection. */
const RESETS: Readonly<Record<string, (socket: Socket) => void>> = {
  'with its last bytes': (socket) => {
    socket.write('x'.repeat(1_000));
    socket.resetAndDestroy();
  },
  'after a pause': (socket) => {
    setTimeout(() => socket.resetAndDestroy(), 30);
  },
};

// Guards against a truncated answer that looks complete, as its last chunk is sent.
for (const [name, breakOff] of Object.entries(RESETS)) {
  test(`an answer without a length that is reset ${name} while it is passed on gets no last chunk`, async (t) => {
    const { harness, caller, target } = await startScene(t, '1.1');
    breakOff(target);
    await harness.waitUntil(
      () => caller.socket.destroyed || caller.isEnded || caller.received.endsWith(LAST_CHUNK),
    );
    t.false(caller.received.endsWith(LAST_CHUNK));
  });
}

/** What ends an answer before its end. */
const CUTS: Readonly<Record<string, (scene: Scene) => void>> = {
  'that its target breaks off': ({ target }) => target.resetAndDestroy(),
  'that a planned stop ends': ({ harness }) => harness.beginStop(),
};

// Guards against a truncated answer that looks complete, as its end is that of the connection.
for (const [name, cut] of Object.entries(CUTS)) {
  test(`the connection of an HTTP/1.0 caller is reset in the middle of an answer ${name}`, async (t) => {
    const scene = await startScene(t, '1.0');
    const { harness, caller } = scene;
    cut(scene);
    await harness.waitUntil(() => caller.socket.destroyed);
    t.false(caller.isEnded);
  });
}

// Guards against a truncated answer whose length its caller cannot check.
test('a length that the target states reaches the caller with an answer that is passed on', async (t) => {
  const length = 2 * STREAMED_BYTES;
  const { caller, target } = await startScene(t, '1.0', [`Content-Length: ${length}`]);
  target.destroy();
  t.regex(caller.received, new RegExp(`content-length: ${length}`, 'i'));
});

// Guards against a truncated answer that looks complete, as its caller has ended its own side.
test('an HTTP/1.0 caller that ends its side in the middle of an answer gets it whole or a reset', async (t) => {
  const { harness, caller, target } = await startScene(t, '1.0');
  caller.socket.end();
  await harness.pause(50);
  target.end('the last bytes');
  await harness.waitUntil(() => caller.socket.destroyed);
  t.true(!caller.isEnded || caller.received.endsWith('the last bytes'));
});
