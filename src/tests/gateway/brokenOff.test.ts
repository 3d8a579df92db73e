import type { Socket } from 'node:net';

import test from 'ava';

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
    const answered: Socket[] = [];
    const { server, address } = await startTarget((socket) =>
      socket.on('data', (data) => {
        if (data.toString().startsWith('GET /health')) {
          socket.write(formatResponse('200 OK', HEALTH_HEADERS));
          return;
        }
        socket.write(formatResponse('200 OK', VALID_HEADERS, 'x'.repeat(STREAMED_BYTES)));
        answered.push(socket);
      }),
    );
    const harness = await GatewayHarness.start({ targetAddress: address });
    t.teardown(async () => {
      await harness.stop();
      server.close();
    });
    const caller = await harness.connect();
    caller.sendRequests('r-1');
    await harness.waitUntil(() => caller.received.length > STREAMED_BYTES);
    breakOff(answered[0]);
    await harness.waitUntil(
      () => caller.socket.destroyed || caller.isEnded || caller.received.endsWith(LAST_CHUNK),
    );
    t.false(caller.received.endsWith(LAST_CHUNK));
  });
}
