import type { AddressInfo, Socket } from 'node:net';
import { connect, createServer } from 'node:net';

import test from 'ava';

import { resetSocket } from '../../soak/resetSocket.js';
import { waitUntil } from '../entry/fixtures.js';

const HOST = '127.0.0.1';

test('a connection that is reset right after its sending side has ended is closed', async (t) => {
  // One side of a proxied connection ends just before the link is reset. If the system refuses the reset,
  // the connection stays open, and the test process does not exit although all tests pass.
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
  // Writing to a connection that the other end has closed causes a reset.
  const writing = setInterval(() => accepted[0].write('more'), 10);
  await waitUntil(() => accepted[0].destroyed);
  clearInterval(writing);
  t.true(near.destroyed);
  far.close();
});
