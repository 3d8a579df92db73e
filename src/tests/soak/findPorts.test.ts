import { createServer } from 'node:net';

import test from 'ava';

import { findPorts } from '../../soak/findPorts.js';

/** First ephemeral port of Linux by default. */
const FIRST_GIVEN_OUT = 32_768;

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
