import { mkdtempSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';

import test from 'ava';

import { SoakGateway } from '../../soak/SoakGateway.js';

test('a stop reports a fault if the process is killed and restarted meanwhile', async (t) => {
  // A fault kills a process during its planned stop, and another fault starts the next process before
  // the exit event of the first. If the new start clears the mark of the kill, the stop counts as one
  // that exceeded the grace period, and the soak reports a violation of the gateway.
  const ports = { callers: 1, readiness: 1, addresses: 1, peers: 1, metrics: 1 };
  const dir = mkdtempSync(join(tmpdir(), 'masticlink-soak-gateway-'));
  const gateway = new SoakGateway({
    name: 'vm-1',
    zone: 'z-1',
    ports,
    source: '127.0.0.1',
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
