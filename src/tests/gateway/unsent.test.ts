import { spawn } from 'node:child_process';
import { once } from 'node:events';
import type { Socket } from 'node:net';
import { connect } from 'node:net';

import test from 'ava';

import type { AttemptResult } from '../../balancing/index.js';
import { BodyMemory } from '../../gateway/BodyMemory.js';
import { TargetAgent } from '../../gateway/TargetAgent.js';
import { classifyTargetHead, TargetRequest } from '../../gateway/TargetRequest.js';
import { SystemClock } from '../../timing/index.js';
import { waitUntil } from '../entry/fixtures.js';
import { startTarget } from './rawTarget.js';

const BODY = Buffer.alloc(20_000, 'x');

/** A target that prints its port, then everything that it receives. */
const TARGET_SCRIPT = `
  const server = require('net').createServer((socket) => {
    socket.on('error', () => {});
    socket.on('data', (data) => process.stdout.write(data));
  });
  server.listen({ port: 0, host: '127.0.0.1', backlog: 1 }, () =>
    process.stdout.write('port ' + server.address().port + '\\n'));
`;

async function pause(ms: number): Promise<void> {
  await new Promise((resolve) => {
    setTimeout(resolve, ms);
  });
}

async function send(
  agent: TargetAgent,
  address: string,
  id: string,
): Promise<AttemptResult['kind']> {
  return new Promise((resolve) => {
    const targetRequest: TargetRequest = new TargetRequest({
      agent,
      clock: new SystemClock(),
      memory: new BodyMemory(350, () => 0),
      address,
      method: 'POST',
      path: '/',
      headers: ['X-Masticlink-Request-Id', id, 'Content-Length', String(BODY.length)],
      body: BODY,
      classifyHead: (head) => classifyTargetHead(id, head),
      onEnd: ({ kind }) => resolve(kind),
    });
    // Connected requests stay unanswered.
    setTimeout(() => {
      targetRequest.cancel();
      resolve('broken');
    }, 700);
  });
}

// Guards against bytes that are sent after their attempt was given up, and run a refused request.
test.serial('nothing arrives of a request that a busy process found unconnected', async (t) => {
  let received = 0;
  const { server, address } = await startTarget((socket) =>
    socket.on('data', (data) => {
      received += data.length;
    }),
  );
  const agent = new TargetAgent(4);
  const end = send(agent, address, 'r-1');
  // The connection is established meanwhile, and the time for connecting passes.
  await new Promise((resolve) => {
    setImmediate(resolve);
  });
  const until = Date.now() + 400;
  while (Date.now() < until);
  t.is(await end, 'unsent');
  await pause(300);
  t.is(received, 0);
  agent.destroy();
  server.close();
});

// Guards against the same at a target that accepts no connections for a while.
test.serial('nothing arrives of requests that a suspended target did not accept', async (t) => {
  const target = spawn(process.execPath, ['-e', TARGET_SCRIPT]);
  let received = '';
  target.stdout.on('data', (data: Buffer) => {
    received += data.toString('latin1');
  });
  await waitUntil(() => /port \d+/.test(received));
  const port = Number(/port (\d+)/.exec(received)?.[1]);
  target.kill('SIGSTOP');
  const ids = [1, 2, 3, 4, 5, 6].map((i) => `r-${i}`);
  const agent = new TargetAgent(ids.length);
  const fillers: Socket[] = [];
  for (let i = 0; i < 4; i += 1) {
    fillers.push(connect(port, '127.0.0.1').on('error', () => {}));
    await pause(10);
  }
  const ends = await Promise.all(ids.map((id) => send(agent, `127.0.0.1:${port}`, id)));
  target.kill('SIGCONT');
  // Longer than the first repetition of an unanswered SYN.
  await pause(1_500);
  const unsentIds = ids.filter((_, i) => ends[i] === 'unsent');
  t.true(unsentIds.length > 0);
  t.deepEqual(
    unsentIds.filter((id) => received.includes(id)),
    [],
  );
  for (const socket of fillers) socket.destroy();
  agent.destroy();
  target.kill('SIGKILL');
  await once(target, 'exit');
});
