import { spawn } from 'node:child_process';
import { once } from 'node:events';
import { createServer } from 'node:net';

import test from 'ava';

import { findPorts } from '../../soak/findPorts.js';

/** First ephemeral port of Linux by default. */
const FIRST_GIVEN_OUT = 32_768;

const FIND_PORTS = new URL('../../soak/findPorts.js', import.meta.url).href;

/** Program that prints ports it has found and runs until its input ends; its process id is fixed. */
const FINDER = `
  Object.defineProperty(process, 'pid', { value: 4_000 });
  const { findPorts } = await import('${FIND_PORTS}');
  const ports = await Promise.all([findPorts(60), findPorts(60)]);
  process.stdout.write(JSON.stringify(ports.flat()));
  process.stdin.resume();
`;

test.serial('ports for restarting programs are outside the ephemeral range', async (t) => {
  // After a gateway is killed, the system may assign its ephemeral port to another program. Callers of
  // the soak then request addresses from that program, and its answer without any ends the soak.
  const ports = [...(await findPorts(20)), ...(await findPorts(20))];
  t.is(new Set(ports).size, 40);
  t.true(ports.every((port) => port < FIRST_GIVEN_OUT));
});

test.serial('a port in use is skipped', async (t) => {
  const [port] = await findPorts(1);
  const server = createServer();
  await new Promise<void>((resolve) => {
    server.listen(port + 1, '127.0.0.1', resolve);
  });
  const [next] = await findPorts(1);
  server.close();
  t.true(next > port + 1);
});

// Guards against two processes that start on the same ports, so that callers of one reach the other.
test('processes that run at the same time find different ports', async (t) => {
  const children = Array.from({ length: 5 }, () =>
    spawn(process.execPath, ['--input-type=module', '-e', FINDER], {
      stdio: ['pipe', 'pipe', 'inherit'],
    }),
  );
  const found = await Promise.all(
    children.map(async ({ stdout }) => {
      const [text] = (await once(stdout, 'data')) as [Buffer];
      return JSON.parse(text.toString()) as number[];
    }),
  );
  for (const { stdin } of children) stdin.end();
  t.is(new Set(found.flat()).size, 5 * 120);
});
