import { mkdtempSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';

import test from 'ava';

import { SoakGateway } from '../../soak/SoakGateway.js';

test('a stop of a process that a fault kills and another follows at once took not too long', async (t) => {
  // A planned stop waits for a process, a fault kills it, and a third starts the next one before the end
  // of the first is told. The stop took the start for a sign that nobody had killed it, and on a busy
  // machine the soak blamed the gateway.
  const ports = { callers: 1, readiness: 1, addresses: 1, peers: 1, metrics: 1 };
  const dir = mkdtempSync(join(tmpdir(), 'masticlink-soak-gateway-'));
  const gateway = new SoakGateway({
    name: 'vm-1',
    zone: 'z-1',
    ports,
    storeAddress: '127.0.0.1:1',
    dir,
  });
  gateway.start();
  const stopped = gateway.stop();
  gateway.kill();
  gateway.start();
  t.is(await stopped, 'byFault');
  gateway.kill();
});
