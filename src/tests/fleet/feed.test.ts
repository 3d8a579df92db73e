import type { AddressInfo } from 'node:net';
import { createServer } from 'node:net';

import test from 'ava';

import { FeedClient } from '../../fleet/FeedClient.js';
import { FeedServer } from '../../fleet/FeedServer.js';
import { FleetView } from '../../fleet/FleetView.js';
import { EventLog } from '../../logging/EventLog.js';
import { SystemClock } from '../../timing/index.js';
import { makeTarget, TABLE } from '../balancing/scene.js';
import { at } from './at.js';

const LOG = new EventLog('vm', { write: (_text, done) => done(), now: () => 0, wallNow: () => 0 });

const SELF = {
  name: 'vm-2',
  zone: 'quai',
  callers: '127.0.0.1:80',
  peers: '127.0.0.1:90',
  linkMbps: 100,
};

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

async function waitUntil(isMet: () => boolean): Promise<void> {
  while (!isMet()) {
    await new Promise((resolve) => {
      setTimeout(resolve, 5);
    });
  }
}

/** Starts a feed server with a configuration and a target. */
async function makeServer() {
  const clock = new SystemClock();
  const view = new FleetView(clock);
  view.confirmations.confirm('configuration');
  view.confirmations.confirm('targets');
  view.apply({
    section: 'configuration',
    items: [{ name: 'main', value: TABLE }],
    position: at(3),
    isWhole: true,
  });
  view.apply({
    section: 'targets',
    items: [{ name: 't-1', value: makeTarget('t-1') }],
    position: at(4),
    isWhole: true,
  });
  const server = new FeedServer(view, LOG);
  view.confirmations.onConfirm(() => server.broadcastAge());
  const port = await getFreePort();
  server.start({ host: '127.0.0.1', port });
  return {
    view,
    address: `127.0.0.1:${port}`,
    tellAge: () => server.broadcastAge(),
    stop(): void {
      server.stop();
    },
  };
}

test('a follower receives the content of its source and each change', async (t) => {
  const server = await makeServer();
  const clock = new SystemClock();
  const view = new FleetView(clock);
  const client = new FeedClient(server.address, view, clock, () => {});
  await waitUntil(() => view.targets.has('t-1') && view.table !== undefined);
  server.view.apply({
    section: 'targets',
    items: [{ name: 't-1', value: undefined }],
    position: at(5),
    isWhole: false,
  });
  await waitUntil(() => !view.targets.has('t-1'));
  t.deepEqual(view.getPosition('targets'), at(5));
  t.true(client.getAgeMs() < 10_000);
  client.stop();
  server.stop();
});

test('a follower that is up to date is sent no section again', async (t) => {
  // During a store outage every VM looks for a source with more recent data. If each sent all
  // sections on each connection, the traffic between zones would cost more than all callers’
  // requests.
  const server = await makeServer();
  const clock = new SystemClock();
  const view = new FleetView(clock);
  const first = new FeedClient(server.address, view, clock, () => {});
  await waitUntil(() => view.targets.has('t-1') && view.table !== undefined);
  let changes = 0;
  const apply = view.apply.bind(view);
  view.apply = (change) => {
    changes += 1;
    return apply(change);
  };
  const again = new FeedClient(server.address, view, clock, () => {});
  await waitUntil(() => Number.isFinite(again.getAgeMs()));
  t.is(changes, 0);
  first.stop();
  again.stop();
  server.stop();
});

test('a known configuration is not sent again although the store’s revision has grown', async (t) => {
  // The store's revision grows with a change of any section, and the configuration is by far the
  // largest section. If it were sent on each connection, it would saturate the links of small VMs.
  const server = await makeServer();
  server.view.apply({ section: 'configuration', items: [], position: at(9), isWhole: false });
  const clock = new SystemClock();
  const view = new FleetView(clock);
  const items = [{ name: 'main', value: TABLE }];
  view.apply({ section: 'configuration', items, position: at(3), isWhole: true });
  const receivedSections: string[] = [];
  const apply = view.apply.bind(view);
  view.apply = (change) => {
    receivedSections.push(change.section);
    return apply(change);
  };
  const client = new FeedClient(server.address, view, clock, () => {});
  await waitUntil(() => Number.isFinite(client.getAgeMs()));
  t.deepEqual(receivedSections, ['targets']);
  client.stop();
  server.stop();
});

test('the end of the source’s process is reported at once', async (t) => {
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

test('two VMs that follow each other don’t confirm each other’s age for ever', async (t) => {
  // During a store outage two VMs that look for a better source follow each other. If each counted
  // the other's data as fresher because of rounding, they would send each other ages as fast as the
  // link allows.
  const one = await makeServer();
  const other = await makeServer();
  const clock = new SystemClock();
  let confirmed = 0;
  const count = (): void => {
    confirmed += 1;
  };
  one.view.confirmations.onConfirm(count);
  other.view.confirmations.onConfirm(count);
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

// A VM that is followed before it has read the store would tell its first reading as additions.
test('a follower of a VM that has just started forgets what that one does not read', async (t) => {
  const clock = new SystemClock();
  const source = new FleetView(clock);
  let isFollowed = false;
  const server = new FeedServer(source, LOG, () => {
    isFollowed = true;
  });
  const port = await getFreePort();
  server.start({ host: '127.0.0.1', port });
  const view = new FleetView(clock);
  const put = (name: string) => ({ name, value: makeTarget(name) });
  const items = [put('t-1'), put('t-2')];
  view.apply({ section: 'targets', items, position: at(4), isWhole: true });
  const client = new FeedClient(`127.0.0.1:${port}`, view, clock, () => {}, SELF);
  await waitUntil(() => isFollowed);
  source.apply({ section: 'targets', items: [put('t-1')], position: at(6), isWhole: true });
  await waitUntil(() => !view.targets.has('t-2'));
  t.deepEqual([...view.targets.keys()], ['t-1']);
  client.stop();
  server.stop();
});
