import type { AddressInfo } from 'node:net';
import { createServer } from 'node:net';

import test from 'ava';

import { FeedClient } from '../../fleet/FeedClient.js';
import { FeedServer } from '../../fleet/FeedServer.js';
import { FleetView } from '../../fleet/FleetView.js';
import { EventLog } from '../../logging/EventLog.js';
import { SystemClock } from '../../timing/index.js';
import { makeTarget, TABLE } from '../balancing/scene.js';

const LOG = new EventLog('vm', { write: (_text, done) => done(), now: () => 0, wallNow: () => 0 });

async function getFreePort(): Promise<number> {
  const probe = createServer();
  await new Promise<void>((resolve) => {
    probe.listen(0, '127.0.0.1', resolve);
  });
  const { port } = probe.address() as AddressInfo;
  await new Promise<void>((resolve) => {
    probe.close(() => resolve());
  });
  return port;
}

async function waitUntil(isSo: () => boolean): Promise<void> {
  while (!isSo()) {
    await new Promise((resolve) => {
      setTimeout(resolve, 5);
    });
  }
}

/** A VM that knows a configuration and a target, and serves it. */
async function makeServer() {
  const clock = new SystemClock();
  const view = new FleetView(clock);
  view.confirm('configuration');
  view.confirm('targets');
  view.apply({
    section: 'configuration',
    items: [{ name: 'main', value: TABLE }],
    revision: 3,
    isWhole: true,
  });
  view.apply({
    section: 'targets',
    items: [{ name: 't-1', value: makeTarget('t-1') }],
    revision: 4,
    isWhole: true,
  });
  const server = new FeedServer(view, LOG);
  view.onConfirm(() => server.tellAge());
  const port = await getFreePort();
  server.start({ host: '127.0.0.1', port });
  return {
    view,
    address: `127.0.0.1:${port}`,
    tellAge: () => server.tellAge(),
    stop(): void {
      server.stop();
    },
  };
}

test('a VM that follows another knows what that one knows, and each change', async (t) => {
  const server = await makeServer();
  const clock = new SystemClock();
  const view = new FleetView(clock);
  const client = new FeedClient(server.address, view, clock, () => {});
  await waitUntil(() => view.targets.has('t-1') && view.table !== undefined);
  server.view.apply({
    section: 'targets',
    items: [{ name: 't-1', value: undefined }],
    revision: 5,
    isWhole: false,
  });
  await waitUntil(() => !view.targets.has('t-1'));
  t.is(view.getRevision('targets'), 5);
  t.true(client.getAgeMs() < 10_000);
  client.stop();
  server.stop();
});

test('a VM that knows as much is told nothing again', async (t) => {
  // The store is away and every VM looks for another that knows more. If each told all it knows to
  // each that asks, the bytes between zones would cost more than all callers’ requests.
  const server = await makeServer();
  const clock = new SystemClock();
  const view = new FleetView(clock);
  const first = new FeedClient(server.address, view, clock, () => {});
  await waitUntil(() => view.targets.has('t-1') && view.table !== undefined);
  let changes = 0;
  const apply = view.apply.bind(view);
  view.apply = (change) => {
    changes += 1;
    apply(change);
  };
  const again = new FeedClient(server.address, view, clock, () => {});
  await waitUntil(() => Number.isFinite(again.getAgeMs()));
  t.is(changes, 0);
  first.stop();
  again.stop();
  server.stop();
});

test('a configuration that is known is not told again because the store has moved on', async (t) => {
  // The store's revision grows with each change anywhere, the configuration is by far the largest
  // section. Sent whole with each new connection it chokes the links of small VMs.
  const server = await makeServer();
  server.view.apply({ section: 'configuration', items: [], revision: 9, isWhole: false });
  const clock = new SystemClock();
  const view = new FleetView(clock);
  const items = [{ name: 'main', value: TABLE }];
  view.apply({ section: 'configuration', items, revision: 3, isWhole: true });
  const told: string[] = [];
  const apply = view.apply.bind(view);
  view.apply = (change) => {
    told.push(change.section);
    apply(change);
  };
  const client = new FeedClient(server.address, view, clock, () => {});
  await waitUntil(() => Number.isFinite(client.getAgeMs()));
  t.deepEqual(told, ['targets']);
  client.stop();
  server.stop();
});

test('the end of the process that is followed is told at once', async (t) => {
  const server = await makeServer();
  const clock = new SystemClock();
  const view = new FleetView(clock);
  let reason = '';
  const client = new FeedClient(server.address, view, clock, (why) => {
    reason = why;
  });
  await waitUntil(() => Number.isFinite(client.getAgeMs()));
  server.stop();
  await waitUntil(() => reason !== '');
  t.true(client.isEnded);
});

test('two VMs that follow each other don’t tell each other the same age for ever', async (t) => {
  // The store is away, and two VMs that look for one that knows more follow each other. If each took
  // the other's word for fresher than its own by what was rounded off, they would tell each other as
  // fast as the link allows.
  const one = await makeServer();
  const other = await makeServer();
  const clock = new SystemClock();
  let confirmed = 0;
  const count = (): void => {
    confirmed += 1;
  };
  one.view.onConfirm(count);
  other.view.onConfirm(count);
  const clients = [
    new FeedClient(one.address, other.view, clock, () => {}),
    new FeedClient(other.address, one.view, clock, () => {}),
  ];
  await waitUntil(() => clients.every((client) => Number.isFinite(client.getAgeMs())));
  for (let round = 0; round < 50; round++) {
    one.tellAge();
    other.tellAge();
    await new Promise((resolve) => {
      setTimeout(resolve, 3.7);
    });
  }
  t.true(confirmed <= 4, `confirmed ${confirmed} times`);
  for (const client of clients) client.stop();
  one.stop();
  other.stop();
});
