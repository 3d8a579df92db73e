import { createServer } from 'node:http';
import type { AddressInfo } from 'node:net';

import test from 'ava';

import { ALLOWED_MS } from './CallerSocket.js';
import { GatewayHarness } from './GatewayHarness.js';

/** More than the gateway buffers before it starts to send an answer. */
const STREAMED_BYTES = 300_000;

function formatRequest(method: string, id: string): string {
  return (
    `${method} /horaires/x HTTP/1.0\r\nHost: door.example\r\nConnection: keep-alive\r\n` +
    `X-Masticlink-Request-Id: ${id}\r\nX-Masticlink-Deadline-Ms: ${ALLOWED_MS}\r\n` +
    'Content-Length: 0\r\n\r\n'
  );
}

// An answer without a length ends the connection of an HTTP/1.0 caller, which takes the booking
// behind it as unread and makes it again.
test('no request runs behind an answer that ends the connection of an HTTP/1.0 caller', async (t) => {
  const startedIds: string[] = [];
  const target = createServer((req, res) => {
    res.setHeader('X-Masticlink-Server-Load', '0,0,64,100');
    res.setHeader('X-Masticlink-Instance-Id', 't-1');
    if (req.url === '/health') {
      res.end();
      return;
    }
    const id = String(req.headers['x-masticlink-request-id']);
    startedIds.push(id);
    res.setHeader('X-Masticlink-Request-Id', id);
    res.setHeader('X-Masticlink-Response-Signature', 's');
    if (id !== 'a') return;
    res.write('x'.repeat(STREAMED_BYTES));
    setTimeout(() => res.end('x'), 300);
  });
  await new Promise<void>((resolve) => {
    target.listen(0, '127.0.0.1', resolve);
  });
  const { port } = target.address() as AddressInfo;
  const harness = await GatewayHarness.start({ targetAddress: `127.0.0.1:${port}` });
  t.teardown(async () => {
    await harness.stop();
    target.close();
    target.closeAllConnections();
  });
  const caller = await harness.connect();
  caller.socket.write(formatRequest('GET', 'a') + formatRequest('POST', 'b'));
  await harness.waitUntil(() => caller.isEnded);
  t.deepEqual(caller.statuses, [200]);
  t.deepEqual(startedIds, ['a']);
});
