import { createServer } from 'node:http';
import type { AddressInfo } from 'node:net';

import type { ExecutionContext } from 'ava';
import test from 'ava';

import { UNKNOWN_EPOCH } from '../../core/model/index.js';
import { StoreCallError } from '../../fleet/FleetStore.js';
import type { ObjectStoreHandlers } from '../../platform/index.js';
import { ObjectStore } from '../../platform/index.js';
import { PlatformStore, putRollout, setZoneOut } from '../../platform/standIn/index.js';

async function start(t: ExecutionContext, handlers: Partial<ObjectStoreHandlers> = {}) {
  const platform = new PlatformStore();
  await platform.start();
  const store = new ObjectStore(platform.address, { onUnreadable: () => {}, ...handlers });
  t.teardown(async () => {
    store.close();
    await platform.stop();
  });
  return { platform, store };
}

const ODD_EPOCHS: Readonly<Record<string, string | undefined>> = {
  'is absent': undefined,
  'is empty': '',
  'is a word': 'second',
  'is negative': '-3',
  'is a fraction': '2.5',
  'is too large': '9'.repeat(30),
};

for (const [name, text] of Object.entries(ODD_EPOCHS)) {
  // Changes would be ignored, or taken for those of another epoch.
  test(`the latest known epoch is assumed if the stated one ${name}`, async (t) => {
    const unreadable: string[] = [];
    const { platform, store } = await start(t, {
      onEpochUnreadable: (value) => unreadable.push(value),
    });
    platform.formatEpoch = () => text;
    t.is((await store.list('zonesOut')).position.epoch, UNKNOWN_EPOCH);
    platform.formatEpoch = () => '4';
    t.is((await store.list('zonesOut')).position.epoch, 4);
    platform.formatEpoch = () => text;
    t.is((await store.list('zonesOut')).position.epoch, 4);
    await store.list('zonesOut');
    t.deepEqual(unreadable, text === undefined ? [] : [text, text]);
  });
}

// A late answer of an earlier epoch would be taken for the current state.
test('an answer has the epoch that it states although a later one is known', async (t) => {
  const changes: number[][] = [];
  const { platform, store } = await start(t, {
    onEpochChange: (before, epoch) => changes.push([before, epoch]),
  });
  for (const epoch of ['2', '3', '2', '3', '5']) {
    platform.formatEpoch = () => epoch;
    t.is((await store.list('zonesOut')).position.epoch, Number(epoch));
  }
  t.deepEqual(changes, [
    [UNKNOWN_EPOCH, 2],
    [2, 3],
    [3, 5],
  ]);
});

// Pages of two epochs together are a state that the store never had.
test('a list during which the store is restored fails', async (t) => {
  const { platform, store } = await start(t);
  for (let i = 0; i < 60; i++) setZoneOut(platform, `zone-${i}`, true);
  let pages = 0;
  platform.formatEpoch = () => {
    pages += 1;
    return String(pages);
  };
  const err = await t.throwsAsync(store.list('zonesOut'), { instanceOf: StoreCallError });
  t.is(err.failure, 'outdated');
});

// After a restore the revision may be that of another change, and the condition holds by accident.
test('a state that is written in another epoch than its order was read in counts as not written', async (t) => {
  const { platform, store } = await start(t);
  putRollout(platform, 'horaires', 'v2', 9_000);
  const [{ value: order }] = (await store.list('rollouts')).items;
  if (order === undefined) throw new Error('the order is not readable');
  platform.formatEpoch = () => '2';
  t.false(await store.writeRolloutState(order, 'running'));
});

// An object on the first page that changes before the last page is read would never be read again.
test('a watch from a list reports what has changed between its pages', async (t) => {
  const { platform, store } = await start(t);
  for (let i = 0; i < 60; i++) putRollout(platform, `service-${i}`, 'v2', 9_000);
  const { items, position } = await store.list('rollouts', 'now', () =>
    putRollout(platform, 'service-0', 'v3', 9_000),
  );
  t.is(items.find(({ name }) => name === 'service-0')?.value?.version, 'v2');
  const answer = await store.watch('rollouts', position, 100);
  if (answer === 'historyGone') throw new Error('the history is gone');
  t.deepEqual(
    answer.items.map(({ name, value }) => `${name} ${value?.version}`),
    ['service-0 v3'],
  );
});

/** Objects as no writer should write them; the last one is sound. */
const ODD_OBJECTS = [
  'null',
  '7',
  '{}',
  '{"metadata":null}',
  '{"metadata":{"name":7}}',
  `{"metadata":{"name":"deep"},"spec":${'['.repeat(100_000)}${']'.repeat(100_000)}}`,
  '{"metadata":{"name":"__proto__"},"spec":{"__proto__":{"address":"10.0.0.1:80"}}}',
  `{"metadata":{"name":"${'x'.repeat(20_000)}"}}`,
  `{"metadata":{"name":"t-1"},"spec":{"address":"10.0.0.1:80","info":{"service":"s","version":"v1",
    "zone":"a","max_concurrency":2}},"status":{"state":"ready","sequence":1,"warmup_left":"0s"}}`,
];

// Guards against lists and watches that fail, and so never advance, because of one object.
test('odd objects in an answer leave the others readable', async (t) => {
  const server = createServer((req, res) => {
    const isWatch = req.url?.includes('watch=') === true;
    const events = ODD_OBJECTS.map((object) => `{"object":${object},"deleted":false}`);
    const content = isWatch ? `"events":[null,{},${events}]` : `"items":[${ODD_OBJECTS}]`;
    res.end(`{"store_revision":7,${content}}`);
  });
  await new Promise<void>((resolve) => {
    server.listen(0, '127.0.0.1', resolve);
  });
  const unreadable: string[] = [];
  const address = `127.0.0.1:${(server.address() as AddressInfo).port}`;
  const store = new ObjectStore(address, { onUnreadable: (_, name) => unreadable.push(name) });
  t.teardown(() => {
    store.close();
    server.close();
  });
  const { items, position } = await store.list('targets');
  const watched = await store.watch('targets', position, 10);
  if (watched === 'historyGone') throw new Error('the watch was not answered');
  for (const read of [items, watched.items]) {
    t.deepEqual(
      read.filter(({ value }) => value !== undefined).map(({ name }) => name),
      ['t-1'],
    );
    t.is(read.length, 4);
  }
  t.is(unreadable.length, 8 + 10);
});
