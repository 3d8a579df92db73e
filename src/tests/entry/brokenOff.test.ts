import { connect } from 'node:net';

import test from 'ava';

import { startEntryWithHandler, startTestPlatform } from './fixtures.js';

/**
 * Sends a request; returns what its caller receives, and how its connection ends.
 * @param address - IP and port.
 * @param endAt - Text at which the caller ends its own side of the connection.
 */
async function sendRequest(
  address: string,
  endAt?: string,
): Promise<{ readonly received: string; readonly wasReset: boolean }> {
  const [host, port] = address.split(':');
  const options = { host, port: Number(port), allowHalfOpen: true };
  const socket = connect(options).setEncoding('latin1');
  let received = '';
  let wasReset = false;
  socket.on('data', (data: string) => {
    received += data;
    if (endAt !== undefined && received.includes(endAt)) socket.end();
  });
  socket.on('error', () => {
    wasReset = true;
  });
  // A reset that comes with the last bytes is reported as an end; a write behind it fails.
  if (endAt === undefined) socket.once('end', () => socket.end('\r\n'));
  socket.write('GET /x HTTP/1.1\r\nHost: horaires\r\nConnection: close\r\n\r\n');
  await new Promise((resolve) => {
    socket.once('close', resolve);
  });
  return { received, wasReset };
}

/** Time from the last bytes of an answer to the reset, in milliseconds. */
const RESETS = [
  ['with its last bytes', 0],
  ['after a pause', 30],
] as const;

// Guards against a truncated answer that looks complete, as its end is that of the connection.
for (const [name, delayMs] of RESETS) {
  test(`an answer without a length that is reset ${name} does not end in an orderly way`, async (t) => {
    const platform = await startTestPlatform();
    t.teardown(() => platform.stop());
    const entry = await startEntryWithHandler(platform, (_req, res) => {
      res.useChunkedEncodingByDefault = false;
      res.shouldKeepAlive = false;
      res.writeHead(200);
      res.write('08:00 loutres');
      if (delayMs === 0) res.socket?.resetAndDestroy();
      else setTimeout(() => res.socket?.resetAndDestroy(), delayMs);
    });
    const { received, wasReset } = await sendRequest(entry.address);
    t.true(wasReset || received.startsWith('HTTP/1.1 502 '));
  });
}

// Guards against a truncated answer that looks complete, as it is taken for one in chunks.
for (const coding of ['gzip', 'identity']) {
  for (const [name, delayMs] of RESETS) {
    test(`an answer in the transfer coding ${coding} that is reset ${name} does not end in an orderly way`, async (t) => {
      const platform = await startTestPlatform();
      t.teardown(() => platform.stop());
      const entry = await startEntryWithHandler(platform, ({ socket }) => {
        socket.write(`HTTP/1.1 200 OK\r\nTransfer-Encoding: ${coding}\r\n\r\n08:00 loutres`);
        if (delayMs === 0) socket.resetAndDestroy();
        else setTimeout(() => socket.resetAndDestroy(), delayMs);
      });
      const { received, wasReset } = await sendRequest(entry.address);
      t.true(wasReset || received.startsWith('HTTP/1.1 502 '));
    });
  }
}

// Guards against a truncated answer that looks complete, as its caller has ended its own side.
test('a caller that ends its side in the middle of an answer without a length gets it whole or a reset', async (t) => {
  const platform = await startTestPlatform();
  t.teardown(() => platform.stop());
  const entry = await startEntryWithHandler(platform, ({ socket }) => {
    socket.write('HTTP/1.1 200 OK\r\n\r\n08:00 loutres');
    setTimeout(() => socket.end('08:30 castors'), 100);
  });
  const { received, wasReset } = await sendRequest(entry.address, 'loutres');
  t.true(wasReset || received.endsWith('castors'));
});
