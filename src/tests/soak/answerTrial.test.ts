import test from 'ava';

import { SMALL_FLEET } from '../../soak/retryFleets.js';
import { runAnswerTrial } from '../../soak/runAnswerTrial.js';

// Guards against truncated answers that look complete to the callers of gateways.
test.serial('large answers that are reset never look complete', async (t) => {
  t.timeout(60_000);
  const { whole, resets, incomplete, twice } = await runAnswerTrial({
    fleet: { ...SMALL_FLEET, gateways: 3 },
    requestsPerSecond: 40,
    shares: { large: 0.9, unframed: 1, reset: 0.5, copied: 0.2, rejected: 0.05 },
    forMs: 5_000,
    seed: 1,
  });
  t.deepEqual({ incomplete, twice }, { incomplete: 0, twice: 0 });
  t.true(whole > 0 && resets > 0, JSON.stringify({ whole, resets }));
});
