import test from 'ava';

import type { ConfigRoot, ServiceConfig, StoreOp } from '../../core/index.js';
import type { DesiredConfiguration } from '../../publish/index.js';
import {
  getServiceKey,
  hashService,
  Publisher,
  ROOT_KEY,
  StaleBaseError,
  StoreUnavailableError,
  UnknownOutcomeError,
} from '../../publish/index.js';
import { makeService } from '../core/fixtures.js';
import { StoreFake } from '../StoreFake.js';

function makeDesired(names: readonly string[], targets = 1): DesiredConfiguration {
  return {
    zones: [{ name: 'a', region: 'north', state: 'in' }],
    services: names.map((name) => makeService(name, targets)),
  };
}

function makePublisher(store: StoreFake, name = 'op'): Publisher {
  let count = 0;
  return new Publisher({
    store,
    attempts: 4,
    wait: () => Promise.resolve(),
    createNonce: () => {
      count += 1;
      return `${name}-${count}`;
    },
  });
}

function getRoot(store: StoreFake): ConfigRoot {
  return store.model.peek(ROOT_KEY)?.value as ConfigRoot;
}

/** Whether every description that the root refers to exists and matches its hash. */
function isConsistent(store: StoreFake): boolean {
  return Object.entries(getRoot(store).services).every(([name, hash]) => {
    const object = store.model.peek(getServiceKey(name, hash))?.value as
      { service: ServiceConfig } | undefined;
    return object !== undefined && hashService(object.service) === hash;
  });
}

test('equal descriptions have the same hash regardless of the order of their keys', (t) => {
  const service = makeService('bei', 1);
  const turned = Object.fromEntries(Object.entries(service).reverse()) as unknown as ServiceConfig;
  t.is(hashService(turned), hashService({ ...service, pathPrefix: undefined }));
  t.not(hashService(service), hashService({ ...service, timeoutMs: 1 }));
});

test('a publication writes only new objects, and nothing if there are no changes', async (t) => {
  const store = new StoreFake();
  const publisher = makePublisher(store);
  const first = await publisher.publish(makeDesired(['bei', 'safari']));
  t.is(first.root.generation, 1);
  const again = await publisher.publish(makeDesired(['bei', 'safari']));
  t.false(again.written);
  store.ops.length = 0;
  const desired = {
    ...makeDesired(['bei']),
    zones: [{ name: 'a', region: 'north', state: 'out' as const }],
  };
  const { plan } = await publisher.publish(desired, { generation: 1 });
  t.like(plan, { added: [], changed: [], removed: ['safari'], zones: ['zone a goes out'] });
  t.deepEqual(
    store.ops.map(({ op }) => op),
    ['get', 'put'],
  );
  t.true(isConsistent(store));
});

test('a publication with an outdated base is refused, and the error lists the changes since', async (t) => {
  // Two operators start from the same generation. The second one would revert the first one's change
  // without having seen it.
  const store = new StoreFake();
  const publisher = makePublisher(store);
  await publisher.publish(makeDesired(['bei', 'safari']));
  await publisher.publish(makeDesired(['bei', 'safari', 'hesabu']), { generation: 1 });
  const late = await t.throwsAsync(
    publisher.publish(makeDesired(['bei', 'safari'], 2), { generation: 1 }),
  );
  t.true(late instanceof StaleBaseError);
  t.is(
    late.message,
    'refused: generation 2 is in force, you started from 1; changed since: hesabu. Take those changes over, then publish with --base 2',
  );
  const blind = await t.throwsAsync(publisher.publish(makeDesired(['bei'], 2)));
  t.regex(blind.message, /it is not known that you have seen it/);
  const other = { generation: 2, nonce: 'another-fleet' };
  await t.throwsAsync(publisher.publish(makeDesired(['bei'], 2), other));
  t.is(getRoot(store).generation, 2);
});

test('of two concurrent publications only one is accepted, regardless of the order of calls', async (t) => {
  // Both read the same root before either writes it. With unconditional writes both would be reported
  // as accepted and one change would be lost.
  for (let step = 0; step < 4; step += 1) {
    const store = new StoreFake();
    await makePublisher(store).publish(makeDesired(['bei']));
    let calls = 0;
    let rival: Promise<unknown> = Promise.resolve();
    store.beforeCall = async () => {
      calls += 1;
      if (calls !== step + 1) return;
      rival = makePublisher(store, 'rival').publish(makeDesired(['bei'], 2), { generation: 1 });
      await rival.catch(() => {});
    };
    const mine = makePublisher(store, 'mine').publish(makeDesired(['bei'], 3), { generation: 1 });
    const results = await Promise.allSettled([mine, rival]);
    const accepted = results.filter(({ status }) => status === 'fulfilled').length;
    t.is(accepted, calls > step ? 1 : 2, `step ${step}`);
    t.true(isConsistent(store));
  }
});

test('an accepted publication is recognised even if the answer of the store was lost', async (t) => {
  // The store writes the root and its answer is lost. If the publication were reported as refused, the
  // operator would publish again over changes that are already in force.
  const store = new StoreFake();
  let lost = false;
  store.model.faults.losesAnswer = (op: StoreOp) => {
    const loses = op.op === 'put' && op.key === ROOT_KEY && !lost;
    lost ||= loses;
    return loses;
  };
  const { root } = await makePublisher(store).publish(makeDesired(['bei']));
  t.true(lost);
  t.is(getRoot(store).nonce, root.nonce);
  t.is(getRoot(store).generation, 1);
});

test('an accepted publication with a lost answer is recognised after another publication', async (t) => {
  // As above, but a second operator publishes before the first one retries the write.
  const store = new StoreFake();
  let lost = false;
  store.model.faults.losesAnswer = (op: StoreOp) => {
    const loses = op.op === 'put' && op.key === ROOT_KEY && !lost;
    lost ||= loses;
    return loses;
  };
  let followed = false;
  store.beforeCall = async (op) => {
    if (!lost || followed || op.op !== 'put') return;
    followed = true;
    await makePublisher(store, 'next').publish(makeDesired(['bei', 'safari']), { generation: 1 });
  };
  const { root } = await makePublisher(store).publish(makeDesired(['bei']));
  t.is(root.generation, 1);
  t.is(getRoot(store).generation, 2);
});

test('an undeterminable outcome is reported as unknown, and a second run resolves it', async (t) => {
  // The store writes the root and fails before it answers. Reporting either "accepted" or "refused"
  // could be wrong.
  const store = new StoreFake();
  store.model.faults.losesAnswer = (op: StoreOp) => {
    if (op.op !== 'put' || op.key !== ROOT_KEY) return false;
    store.model.faults.down = 'hanging';
    return true;
  };
  const err = await t.throwsAsync(makePublisher(store).publish(makeDesired(['bei'])));
  t.true(err instanceof UnknownOutcomeError);
  store.model.faults.down = undefined;
  store.model.faults.losesAnswer = undefined;
  const second = await makePublisher(store).publish(makeDesired(['bei']));
  t.false(second.written);
  t.is(second.root.generation, 1);
});

test('if the store is unavailable, nothing is accepted and the error says so', async (t) => {
  const store = new StoreFake();
  store.model.faults.down = 'refusing';
  const err = await t.throwsAsync(makePublisher(store).publish(makeDesired(['bei'])));
  t.true(err instanceof StoreUnavailableError);
  t.regex(err.message, /Nothing was accepted/);
});

test('unused descriptions are deleted, but none that a root refers to', async (t) => {
  // One operator's publication deletes old descriptions while another operator publishes one of them
  // again. If it were deleted, no entry VM could apply the accepted configuration.
  const store = new StoreFake();
  const publisher = makePublisher(store);
  for (let generation = 0; generation < 59; generation += 1) {
    await publisher.publish(makeDesired(['bei'], 1 + generation), { generation });
  }
  const count = () => new Set(store.ops.flatMap((op) => (op.op === 'put' ? op.key : []))).size - 1;
  t.is(count(), 59);
  const kept = [...Array(59).keys()].filter((i) => {
    const service = makeService('bei', 1 + i);
    return store.model.peek(getServiceKey('bei', hashService(service))) !== undefined;
  });
  t.deepEqual(kept.length, 59 - 29);
  // The 60th publication collects garbage. Just before its first delete, a rival publishes an old
  // description again.
  let rivals = 0;
  const old = makeDesired(['bei'], 30);
  store.beforeCall = async (op) => {
    if (op.op !== 'delete' || rivals > 0) return;
    rivals += 1;
    const { generation } = getRoot(store);
    await makePublisher(store, 'rival').publish(old, { generation });
  };
  await publisher.publish(makeDesired(['bei'], 100), { generation: 59 });
  t.is(rivals, 1);
  t.true(isConsistent(store));
  t.is(getRoot(store).generation, 61);
});
