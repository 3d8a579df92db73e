import { connect } from 'node:net';

import test from 'ava';
import { request } from 'undici';

import { startEntryWithHandler, startTestPlatform, waitUntil } from './fixtures.js';

const HORAIRES = { host: 'horaires' };

test('a planned stop completes an open request', async (t) => {
  // An entry VM is replaced while a target processes a request. If the stop aborted the request,
  // the caller would not know whether it ran.
  const platform = await startTestPlatform();
  t.teardown(() => platform.stop());
  let release: () => void = () => {};
  const entry = await startEntryWithHandler(
    platform,
    (_req, res) => {
      release = () => res.end('booked');
    },
    {},
    { addressTtlMs: 100 },
  );
  const pendingAnswer = request(`http://${entry.address}/x`, {
    method: 'POST',
    headers: HORAIRES,
    body: 'a dive',
  });
  await waitUntil(() => entry.state.requests.attempts.size === 1);
  const stopped = entry.stop();
  await waitUntil(() => performance.now() > (entry.state.fleet.stopRequestedAt ?? Infinity) + 100);
  release();
  const { statusCode, headers, body } = await pendingAnswer;
  t.is(await body.text(), 'booked');
  t.is(statusCode, 200);
  t.is(headers.connection, 'close');
  await stopped;
});

test('a process that has stopped refuses connections', async (t) => {
  const platform = await startTestPlatform();
  t.teardown(() => platform.stop());
  const entry = await startEntryWithHandler(
    platform,
    (_req, res) => res.end(),
    {},
    { addressTtlMs: 100 },
  );
  const [host, port] = entry.peerAddress.split(':');
  await entry.stop();
  const code = await new Promise((resolve) => {
    const socket = connect(Number(port), host);
    socket.on('error', (error: Error & { code?: string }) => resolve(error.code));
    socket.on('connect', () => resolve('connected'));
  });
  t.is(code, 'ECONNREFUSED');
});
