import test from 'ava';

import type { AdminCaller } from '../../publish/index.js';
import { Publisher, pushToEntryVms, waitUntilInForce } from '../../publish/index.js';
import { makeService } from '../core/fixtures.js';
import { StoreFake } from '../StoreFake.js';

test('an accepted configuration reaches entry VMs even if the store then becomes unavailable', async (t) => {
  // The store fails right after it accepted the root. If entry VMs could only read the configuration
  // from the store, a zone that operators took out would receive requests for the whole outage.
  const store = new StoreFake();
  const result = await new Publisher({
    store,
    attempts: 1,
    wait: () => Promise.resolve(),
    createNonce: () => 'n1',
  }).publish({
    zones: [{ name: 'a', region: 'north', state: 'in' }],
    services: [makeService('bei', 1)],
  });
  store.model.faults.down = 'refusing';
  const generations = new Map([
    ['10.0.0.1:80', 0],
    ['10.0.0.2:80', 0],
  ]);
  const admin: AdminCaller = {
    push: async (address, root, services) => {
      if (!generations.has(address) || services.length !== 1) return undefined;
      generations.set(address, root.generation);
      return root.generation;
    },
    getGeneration: async (address) => generations.get(address),
  };
  const addresses = ['10.0.0.1:80', '10.0.0.2:80', '10.0.0.3:80'];
  t.is(await pushToEntryVms(admin, addresses, result), 2);
  const seen: string[] = [];
  const progress = await waitUntilInForce(admin, {
    generation: 1,
    addresses,
    timeoutMs: 400,
    wait: async () => {},
    onProgress: ({ inForce, of }) => seen.push(`${inForce} of ${of}`),
  });
  t.deepEqual(progress, { inForce: 2, of: 3, missing: ['10.0.0.3:80'] });
  t.deepEqual(seen, ['2 of 3', '2 of 3']);
});
