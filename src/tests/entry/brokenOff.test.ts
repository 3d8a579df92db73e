import { connect } from 'node:net';

import test from 'ava';

import { startEntryWithHandler, startTestPlatform } from './fixtures.js';

/** Sends a request; returns what its caller receives, and how its connection ends. */
async function sendRequest(
  address: string,
): Promise<{ readonly received: string; readonly wasReset: boolean }> {
  const [host, port] = address.split(':');
  const socket = connect(Number(port), host).setEncoding('latin1');
  let received = '';
  let wasReset = false;
  socket.on('data', (data: string) => {
    received += data;
  });
  socket.on('error', () => {
    wasReset = true;
  });
  socket.write('GET /x HTTP/1.1\r\nHost: horaires\r\nConnection: close\r\n\r\n');
  await new Promise((resolve) => {
    socket.once('close', resolve);
  });
  return { received, wasReset };
}

// Guards against a truncated answer that looks complete, as its end is that of the connection.
for (const [name, delayMs] of [
  ['with its last bytes', 0],
  ['after a pause', 30],
] as const) {
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
