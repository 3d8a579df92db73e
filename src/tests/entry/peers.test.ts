import { randomBytes } from 'node:crypto';
import type { IncomingMessage } from 'node:http';

import test from 'ava';
import { request } from 'undici';

import type { PeerMessage } from '../../core/index.js';
import { PeerClient, PeerServer } from '../../peers/index.js';
import { getAttemptCount, startEntryPair, startTestPlatform, waitUntil } from './fixtures.js';

const HORAIRES = { host: 'horaires' };
const HOST = '127.0.0.1';

test('a process that does not drive the target forwards the request to the one that does', async (t) => {
  const platform = await startTestPlatform();
  t.teardown(() => platform.stop());
  const seen: IncomingMessage[] = [];
  const { holder, other } = await startEntryPair(platform, (req, res) => {
    seen.push(req);
    res.writeHead(200, { 'content-type': 'text/plain', 'x-own': 'kept' });
    req.pipe(res);
  });
  const small = await request(`http://${other.address}/x?y=1`, {
    method: 'PUT',
    headers: { ...HORAIRES, 'masticlink-caller': 'caisse' },
    body: 'a school group',
  });
  t.is(small.statusCode, 200);
  t.is(small.headers['x-own'], 'kept');
  t.is(await small.body.text(), 'a school group');
  const [{ method, url, headers }] = seen;
  t.deepEqual([method, url, headers['masticlink-caller']], ['PUT', '/x?y=1', 'caisse']);
  t.is(headers.via, '1.1 masticlink');
  t.true(Number(headers['masticlink-deadline-ms']) > 0);

  const large = randomBytes(60 * 1024);
  const answer = await request(`http://${other.address}/x`, {
    method: 'POST',
    headers: HORAIRES,
    body: large,
  });
  t.true(Buffer.from(await answer.body.arrayBuffer()).equals(large));
  t.is(getAttemptCount(holder) + getAttemptCount(other), 0);
});

test('a truncated answer to a forwarded request ends with an error at the caller', async (t) => {
  // The target fails mid-answer, with two entry VMs between it and the caller. Both have to pass
  // the abort on, or the caller takes the partial answer for a complete one.
  const platform = await startTestPlatform();
  t.teardown(() => platform.stop());
  const { other } = await startEntryPair(platform, (_req, res) => {
    res.writeHead(200);
    res.write('08:00 loutres', () => res.socket?.destroy());
  });
  const { body } = await request(`http://${other.address}/x`, { headers: HORAIRES });
  await t.throwsAsync(body.text());
});

test('a caller that disconnects cancels a forwarded request at the target', async (t) => {
  // The caller disconnects from an entry VM that forwarded its request. If that VM didn't pass the
  // cancellation on, the holder of the target would keep a slot occupied.
  const platform = await startTestPlatform();
  t.teardown(() => platform.stop());
  let receivedCount = 0;
  let closedCount = 0;
  const { holder, other } = await startEntryPair(platform, (_req, res) => {
    receivedCount += 1;
    res.on('close', () => {
      closedCount += 1;
    });
  });
  const controller = new AbortController();
  const pendingAnswer = request(`http://${other.address}/x`, {
    headers: HORAIRES,
    signal: controller.signal,
  });
  await waitUntil(() => receivedCount === 1);
  controller.abort(new Error('the caller disconnected'));
  await t.throwsAsync(pendingAnswer);
  await waitUntil(
    () => closedCount === 1 && getAttemptCount(holder) === 0 && getAttemptCount(other) === 0,
  );
  t.pass();
});

/** Sends one message; resolves with the reason why its delivery failed, undefined if it arrived. */
async function deliver(
  peer: string,
  address: string,
  arrived: () => boolean,
): Promise<'refused' | 'unreachable' | undefined> {
  let failure: 'refused' | 'unreachable' | undefined;
  const client = new PeerClient({
    self: 'vm9#1',
    onFailed: (_peer, reason) => {
      failure = reason;
    },
  });
  client.send(peer, address, { kind: 'assignmentHeard', epoch: 1, confirmations: [] });
  await waitUntil(() => failure !== undefined || arrived());
  client.close();
  return failure;
}

test('a process counts as ended only if its address refuses the connection or message', async (t) => {
  // A paused process keeps its port, and when it resumes it still assumes that it drives its
  // targets. If a missing answer counted as its end, two processes would drive them at once.
  const arrived: PeerMessage[] = [];
  const server = await PeerServer.start({ self: 'vm1#1', host: HOST, port: 0 });
  const { address } = server;
  const hasArrived = (): boolean => arrived.length > 0;
  t.is(await deliver('vm1#1', address, hasArrived), 'unreachable', 'still starting');
  server.onMessage = (_from, message) => arrived.push(message);
  server.onForward = () => {};
  t.is(await deliver('vm1#0', address, hasArrived), 'refused', 'another process at its address');
  t.is(await deliver('vm1#1', address, hasArrived), undefined);
  t.is(arrived[0].kind, 'assignmentHeard');
  server.close();
  t.is(await deliver('vm1#1', address, () => false), 'refused', 'nothing listens');
});

test('a malformed message is refused and does not reach the core', async (t) => {
  // During a rolling replacement of VMs, two releases communicate. A message with a missing field
  // would put undefined numbers into leases and epochs.
  const server = await PeerServer.start({ self: 'vm1#1', host: HOST, port: 0 });
  t.teardown(() => server.close());
  const arrived: PeerMessage[] = [];
  server.onMessage = (_from, message) => arrived.push(message);
  server.onForward = () => {};
  let failed = false;
  const client = new PeerClient({
    self: 'vm9#1',
    onFailed: () => {
      failed = true;
    },
  });
  t.teardown(() => client.close());
  client.send('vm1#1', server.address, { kind: 'confirmAsked', epoch: 'late' } as never);
  await waitUntil(() => failed);
  t.deepEqual(arrived, []);
});

test('the end of a peer process is reported even if no further message is sent', async (t) => {
  // An entry VM fails between two heartbeats. Until the others detect it, its targets get no
  // requests and callers that use its address get no answers.
  const server = await PeerServer.start({ self: 'vm1#1', host: HOST, port: 0 });
  const arrived: PeerMessage[] = [];
  server.onMessage = (_from, message) => arrived.push(message);
  server.onForward = () => {};
  const failures: string[] = [];
  const client = new PeerClient({
    self: 'vm9#1',
    onFailed: (_peer, reason) => failures.push(reason),
  });
  t.teardown(() => client.close());
  client.send('vm1#1', server.address, { kind: 'confirmAsked', epoch: 1, round: 1 });
  await waitUntil(() => arrived.length === 1);
  server.close();
  await waitUntil(() => failures.includes('refused'));
  t.pass();
});
