import type { AddressInfo, Socket } from 'node:net';
import { connect, createServer } from 'node:net';

import test from 'ava';

import { resetSocket } from '../../soak/resetSocket.js';
import { waitUntil } from '../entry/fixtures.js';

const HOST = '127.0.0.1';

test('a connection that is reset just after its sending side has ended is closed', async (t) => {
  // One side of a proxied connection ends, and the link is reset in the same moment. The connection stayed
  // open for ever; all tests of the soak passed, and their process did not end.
  const accepted: Socket[] = [];
  const far = createServer({ allowHalfOpen: true }, (socket) => {
    accepted.push(socket.on('error', () => {}).resume());
  });
  await new Promise<void>((resolve) => {
    far.listen(0, HOST, resolve);
  });
  const near = connect({ host: HOST, port: (far.address() as AddressInfo).port });
  near.on('error', () => {});
  await waitUntil(() => accepted.length === 1);
  near.end();
  resetSocket(near);
  // What is written to a connection that is closed at the other end is answered by a reset.
  const writing = setInterval(() => accepted[0].write('more'), 10);
  await waitUntil(() => accepted[0].destroyed);
  clearInterval(writing);
  t.true(near.destroyed);
  far.close();
});
