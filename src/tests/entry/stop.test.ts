import { connect } from 'node:net';

import test from 'ava';
import { request } from 'undici';

import { startBefore, startWorld, until } from './fixtures.js';

const HORAIRES = { host: 'horaires' };

test('a planned stop lets a request in flight end', async (t) => {
  // An operator replaces an entry VM while a member books a dive. The booking runs at the target
  // and its answer must still reach the member; a cut would leave both guessing.
  const world = await startWorld();
  t.teardown(() => world.stop());
  let release: () => void = () => {};
  const entry = await startBefore(
    world,
    (_req, res) => {
      release = () => res.end('booked');
    },
    {},
    { addressTtlMs: 100 },
  );
  const asked = request(`http://${entry.address}/x`, {
    method: 'POST',
    headers: HORAIRES,
    body: 'a dive',
  });
  await until(() => entry.state.requests.attempts.size === 1);
  const stopped = entry.stop();
  await until(() => performance.now() > (entry.state.fleet.stopRequestedAt ?? Infinity) + 100);
  release();
  const { statusCode, headers, body } = await asked;
  t.is(await body.text(), 'booked');
  t.is(statusCode, 200);
  t.is(headers.connection, 'close');
  await stopped;
});

test('a process that has stopped refuses connections', async (t) => {
  const world = await startWorld();
  t.teardown(() => world.stop());
  const entry = await startBefore(world, (_req, res) => res.end(), {}, { addressTtlMs: 100 });
  const [host, port] = entry.peerAddress.split(':');
  await entry.stop();
  const code = await new Promise((resolve) => {
    const socket = connect(Number(port), host);
    socket.on('error', (error: Error & { code?: string }) => resolve(error.code));
    socket.on('connect', () => resolve('connected'));
  });
  t.is(code, 'ECONNREFUSED');
});
