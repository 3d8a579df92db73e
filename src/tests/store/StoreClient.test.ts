import test from 'ava';

import type { StoreOp } from '../../core/index.js';
import { startStoreServer } from '../../standIns/http/index.js';
import { StoreClient } from '../../store/index.js';

const PUT: StoreOp = { op: 'put', key: 'fleet/assignment', value: { epoch: 1 }, expect: 0 };
const GET: StoreOp = { op: 'get', key: 'fleet/assignment' };

test('every kind of call and answer is transferred correctly', async (t) => {
  const store = await startStoreServer({ model: { answerMs: 0 } });
  const client = new StoreClient({ url: `http://${store.address}`, timeoutMs: 1_000 });
  t.teardown(async () => {
    await client.close();
    await store.stop();
  });
  t.deepEqual(await client.call(GET), { kind: 'missing' });
  t.deepEqual(await client.call(PUT), { kind: 'written', version: 1 });
  t.deepEqual(await client.call(PUT), { kind: 'conflict', version: 1 });
  const entry = { key: 'fleet/assignment', version: 1, value: { epoch: 1 } };
  t.deepEqual(await client.call(GET), { kind: 'found', entry });
  t.deepEqual(await client.call({ op: 'list', prefix: 'fleet/' }), {
    kind: 'listed',
    entries: [entry],
  });
  const watch = { op: 'watch', key: 'fleet/assignment', waitMs: 20 } as const;
  t.deepEqual(await client.call({ ...watch, after: 0 }), { kind: 'found', entry });
  t.deepEqual(await client.call({ ...watch, after: 1 }), { kind: 'unchanged' });
  t.deepEqual(await client.call({ op: 'delete', key: 'fleet/assignment', expect: 1 }), {
    kind: 'written',
    version: 2,
  });
});

test('a write whose answer is lost is unknown, a refused connection is unavailable', async (t) => {
  // The store applies the write of a lease, but its answer is lost. A client that took this for a
  // failed write would give up a lease that it holds, or write the same epoch twice.
  const store = await startStoreServer({ model: { answerMs: 0 } });
  const client = new StoreClient({ url: `http://${store.address}`, timeoutMs: 100 });
  t.teardown(() => client.close());
  store.model.faults.losesAnswer = (op) => op.op === 'put';
  t.deepEqual(await client.call(PUT), { kind: 'unknown' });
  t.is(store.model.peek('fleet/assignment')?.version, 1);
  delete store.model.faults.losesAnswer;
  store.model.faults.down = 'hanging';
  t.deepEqual(await client.call(GET), { kind: 'unknown' });
  await store.stop();
  // The first client may still have a connection that the store has just closed. A call sent on it
  // may have arrived, so `unknown` would be correct. A client without a connection is always
  // refused.
  const fresh = new StoreClient({ url: `http://${store.address}`, timeoutMs: 10_000 });
  t.teardown(() => fresh.close());
  t.deepEqual(await fresh.call(GET), { kind: 'unavailable' });
});
