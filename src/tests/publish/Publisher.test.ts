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

/** Every description that the root names is there and is what the name says. */
function isWhole(store: StoreFake): boolean {
  return Object.entries(getRoot(store).services).every(([name, hash]) => {
    const object = store.model.peek(getServiceKey(name, hash))?.value as
      { service: ServiceConfig } | undefined;
    return object !== undefined && hashService(object.service) === hash;
  });
}

test('equal descriptions have one hash, whatever the order of their keys', (t) => {
  const service = makeService('bei', 1);
  const turned = Object.fromEntries(Object.entries(service).reverse()) as unknown as ServiceConfig;
  t.is(hashService(turned), hashService({ ...service, pathPrefix: undefined }));
  t.not(hashService(service), hashService({ ...service, timeoutMs: 1 }));
});

test('a publication writes what is new, and one that changes nothing writes nothing', async (t) => {
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
  t.true(isWhole(store));
});

test('a publication from an old base is refused and names what changed since', async (t) => {
  // Two operators start from the same generation. The later one would undo the change of the first
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

test('of operators who publish at the same moment one is accepted, whatever the order of calls', async (t) => {
  // Both have read the same root before either writes it. If the write were not conditional, both
  // would be told that they were accepted and one change would be lost.
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
    t.true(isWhole(store));
  }
});

test('an acceptance whose answer was lost is recognised', async (t) => {
  // The store takes the root and its answer is lost. An operator who is told "refused" would publish
  // again over changes that are already in force.
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

test('an acceptance whose answer was lost is recognised after another one followed', async (t) => {
  // As above, and before the first operator looks again a second one has published on top.
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

test('an outcome that cannot be told is said to be unknown, and a second run settles it', async (t) => {
  // The store takes the root and is down before it answers. Neither "accepted" nor "refused" would
  // be true to say.
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

test('with the store down nothing is accepted, and that is said', async (t) => {
  const store = new StoreFake();
  store.model.faults.down = 'refusing';
  const err = await t.throwsAsync(makePublisher(store).publish(makeDesired(['bei'])));
  t.true(err instanceof StoreUnavailableError);
  t.regex(err.message, /Nothing was accepted/);
});

test('unused descriptions are deleted, and never one that a root names', async (t) => {
  // One operator deletes old descriptions while another publishes one of those again. If it went,
  // the accepted configuration could not be put into force anywhere.
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
  // The 60th publication collects; just before each delete a rival asks for an old description back.
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
  t.true(isWhole(store));
  t.is(getRoot(store).generation, 61);
});
