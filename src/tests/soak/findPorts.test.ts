import { createServer } from 'node:net';

import test from 'ava';

import { findPorts } from '../../soak/findPorts.js';

/** The first port that Linux gives out by itself if nothing else is set. */
const FIRST_GIVEN_OUT = 32_768;

test.serial('ports of programs that restart are not given to others meanwhile', async (t) => {
  // A gateway is killed, and the system gives its port to the next program that asks for any. The
  // soak's callers asked that one for addresses, and the soak ended on an answer that had none.
  const ports = [...(await findPorts(20)), ...(await findPorts(20))];
  t.is(new Set(ports).size, 40);
  t.true(ports.every((port) => port < FIRST_GIVEN_OUT));
});

test.serial('a port that is in use is passed over', async (t) => {
  const [port] = await findPorts(1);
  const server = createServer();
  await new Promise<void>((resolve) => {
    server.listen(port + 1, '127.0.0.1', resolve);
  });
  const [next] = await findPorts(1);
  server.close();
  t.true(next > port + 1);
});
