import test from 'ava';

import { SMALL_FLEET } from '../../soak/retryFleets.js';
import { runRetryTrial } from '../../soak/runRetryTrial.js';

// A VM that stops leaves its share to the others although it has used it, and starts with a new one.
test.serial('retries stay within their limit while all VMs are replaced in turn', async (t) => {
  t.timeout(90_000);
  const { worst } = await runRetryTrial({
    fleet: SMALL_FLEET,
    behaviour: 'sheds',
    faults: ['replaced'],
    requestsPerSecond: 20,
    forMs: 22_000,
  });
  t.true(worst.retries <= worst.allowed, JSON.stringify(worst));
});

// A store that comes back from an older copy lists fewer VMs than there are, and each takes a larger share.
test.serial('retries stay within their limit while the store lists two of the VMs', async (t) => {
  t.timeout(120_000);
  const { worst } = await runRetryTrial({
    fleet: SMALL_FLEET,
    behaviour: 'sheds',
    faults: ['vmsLost'],
    requestsPerSecond: 20,
    forMs: 26_000,
  });
  t.true(worst.retries <= worst.allowed, JSON.stringify(worst));
});
