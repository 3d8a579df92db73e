import test from 'ava';

import { SoakCallers } from '../../soak/SoakCallers.js';

// Two requests with the same id look like one that ran twice, which breaks a guarantee.
test('requests of a soak have different ids even if the random numbers repeat', (t) => {
  const callers = new SoakCallers([], () => 0.5);
  t.teardown(() => callers.close());
  callers.send(1, '/read/x', true).catch(() => {});
  callers.send(1, '/read/x', true).catch(() => {});
  t.is(new Set(callers.records.map(({ id }) => id)).size, 2);
});
