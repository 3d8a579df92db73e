import { once } from 'node:events';
import type { Socket } from 'node:net';
import { connect } from 'node:net';

import test from 'ava';

import { PlatformTarget } from '../../platform/standIn/index.js';

/** Random number by which a copy is held back, and by which it is sent with a delay. */
const HELD = 0.4;
const DELAYED = 0.6;

interface Connection {
  readonly target: PlatformTarget;
  readonly met: string[];
  readonly socket: Socket;
  /** Sends a request and returns the ids in all answers within a time. */
  readonly ask: (id: string, forMs?: number) => Promise<string[]>;
}

function wait(ms: number): Promise<void> {
  return new Promise((resolve) => {
    setTimeout(resolve, ms);
  });
}

/** Starts a target that answers twice, and connects to it. */
async function connectToCopier(random: number): Promise<Connection> {
  const met: string[] = [];
  const target = new PlatformTarget({
    id: 't-1',
    slots: 2,
    workMs: 10,
    onRun: () => {},
    random: () => random,
    onCopyMet: (id) => met.push(id),
  });
  const [host, port] = (await target.start()).split(':');
  target.copies.share = 1;
  const socket = connect({ host, port: Number(port) });
  await once(socket, 'connect');
  let received = '';
  socket.on('data', (data: Buffer) => {
    received += data.toString();
  });
  const ask = async (id: string, forMs = 150): Promise<string[]> => {
    received = '';
    socket.write(`GET /x HTTP/1.1\r\nHost: a\r\nX-Masticlink-Request-Id: ${id}\r\n\r\n`);
    await wait(forMs);
    return [...received.matchAll(/^x-masticlink-request-id: (\S+)/gim)].map(([, each]) => each);
  };
  return { target, met, socket, ask };
}

// A copy that is sent on an idle connection closes it, so that no request ever meets one.
test('a copy that is held back comes before the answer to the next request', async (t) => {
  const { target, met, socket, ask } = await connectToCopier(HELD);
  t.deepEqual(await ask('a'), ['a']);
  t.deepEqual(await ask('b'), ['a', 'b']);
  t.deepEqual(met, ['b']);
  t.deepEqual(target.copies.counts, { sent: 1, met: 1, metRejections: 0 });
  socket.destroy();
  target.crash();
});

// If a second answer could not be told apart from a held one, neither way would be known to work.
test('a delayed copy is sent without another request', async (t) => {
  const { target, met, socket, ask } = await connectToCopier(DELAYED);
  t.deepEqual(await ask('a', 500), ['a', 'a']);
  t.deepEqual(met, []);
  t.deepEqual(target.copies.counts, { sent: 1, met: 0, metRejections: 0 });
  socket.destroy();
  target.crash();
});

// A soak without copies of rejections does not play the fault that breaks promises.
test('a target rejects a share of its requests and sends copies of the rejections', async (t) => {
  const { target, socket, ask } = await connectToCopier(HELD);
  target.rejectedShare = 0.5;
  t.deepEqual(await ask('a'), ['a']);
  target.rejectedShare = 0;
  t.deepEqual(await ask('b'), ['a', 'b']);
  t.deepEqual(target.copies.counts, { sent: 1, met: 1, metRejections: 1 });
  socket.destroy();
  target.crash();
});
