import test from 'ava';

import type { RoutingTable } from '../../balancing/index.js';
import type { FeedMessage } from '../../fleet/feedMessages.js';
import {
  decodeFeedMessage,
  decodeFollowRequest,
  FeedReader,
  writeFeedMessage,
} from '../../fleet/feedMessages.js';
import { createRandom } from '../../standIns/models/index.js';
import { ROUTE, TABLE } from '../balancing/scene.js';
import { at } from './at.js';

function makeChange(routes: number): FeedMessage {
  const random = createRandom(5);
  const makeWord = (): string => Math.floor(random() * 36 ** 6).toString(36);
  const table: RoutingTable = {
    ...TABLE,
    routes: Array.from({ length: routes }, () => ({
      ...ROUTE,
      name: `r-${makeWord()}`,
      host: `${makeWord()}.example`,
      pathPrefix: `/${makeWord()}/`,
    })),
  };
  const items = [{ name: 'main', value: table }];
  return { kind: 'change', section: 'configuration', items, position: at(7), isWhole: false };
}

test('a large configuration is compressed enough for a slow link', (t) => {
  // A configuration of 1,900 routes is sent to eight followers over a link of 7 Mbit/s. Nothing
  // else gets through meanwhile; new routes are applied late, and their callers get 404.
  const message = makeChange(1_900);
  const plain = JSON.stringify(message).length;
  const line = writeFeedMessage(message);
  t.true(line.length * 8 < plain, `${line.length} of ${plain} characters`);
  t.true((8 * line.length * 8) / 7e6 < 0.5, 'all eight have it in half a second');
});

test('compressed messages are decoded from chunks of any size', (t) => {
  const messages = [makeChange(40), makeChange(0), makeChange(300)];
  const text = messages.map((message) => writeFeedMessage(message)).join('');
  const reader = new FeedReader(decodeFeedMessage);
  const read: FeedMessage[] = [];
  for (let i = 0; i < text.length; i += 777) read.push(...reader.read(text.slice(i, i + 777)));
  t.deepEqual(read, messages);
});

test('a short message is sent uncompressed', (t) => {
  const age: FeedMessage = { kind: 'age', ageMs: 12, epoch: 2, origin: 'vm-1', count: 3 };
  t.is(writeFeedMessage(age), `${JSON.stringify(age)}\n`);
});

test('a compressed line that can’t be unpacked is an error', (t) => {
  // A VM closes the connection on which such a line arrives.
  const reader = new FeedReader(decodeFeedMessage);
  t.throws(() => reader.read('{"kind":"packed","data":"nothing"}\n'));
});

// A VM of an earlier version sends no epochs; its data must not be taken for that of a later epoch.
test('what a VM of an earlier version sends is of an unknown epoch', (t) => {
  const order = { id: 'o', name: 'o', service: 's', version: 'v2', durationMs: 1, revision: 6 };
  const lines = [
    { kind: 'change', section: 'rollouts', items: [{ name: 'o', value: order }], revision: 7 },
    { kind: 'age', ageMs: 12, origin: 'vm-1', count: 3 },
  ];
  const reader = new FeedReader(decodeFeedMessage);
  const text = lines.map((line) => `${JSON.stringify(line)}\n`).join('');
  const request = decodeFollowRequest({ revisions: { targets: 8 }, version: 3 });
  t.snapshot({ messages: reader.read(text), request });
});

// A VM of an earlier version writes a rollout's state without a condition if it gets no revision.
test('a VM of an earlier version gets the revisions that it knows', (t) => {
  const items = [
    {
      name: 'o',
      value: {
        id: 'o',
        name: 'o',
        service: 's',
        version: 'v2',
        durationMs: 1,
        position: at(6, 3),
        state: undefined,
      },
    },
  ];
  const change = { section: 'rollouts', items, position: at(7, 3), isWhole: true } as const;
  t.snapshot([
    JSON.parse(writeFeedMessage({ kind: 'change', ...change })),
    JSON.parse(writeFeedMessage({ positions: { targets: at(8, 3) }, version: 3 })),
  ]);
});

// A follower that is not told where changes begin, or what was listed, keeps or lacks targets for good.
test('where changes begin and what was listed is sent, and may be missing', (t) => {
  const change = { kind: 'change', section: 'targets', items: [], position: at(7) } as const;
  const messages: FeedMessage[] = [
    { ...change, isWhole: false, from: at(5, 2) },
    { ...change, isWhole: true, isListed: true },
    { ...change, isWhole: false },
  ];
  const reader = new FeedReader(decodeFeedMessage);
  t.deepEqual(
    messages.flatMap((message) => reader.read(writeFeedMessage(message))),
    messages,
  );
});

// Guards against addresses that VMs without the check pass on: connections to them throw.
test('entries with addresses that cannot be connected to are not taken from other VMs', (t) => {
  const vm = { name: 'vm-1', zone: 'a', callers: '10.0.0.1:80', peers: '10.0.0.1:90', linkMbps: 9 };
  const oddVm = { ...vm, name: 'vm-2', peers: '10.0.0.2:70000' };
  const read = (section: 'targets' | 'vms', value: unknown): unknown => {
    const items = [{ name: 'o-1', value }];
    const sent = { kind: 'change', section, items, revision: 3, isWhole: true };
    const message = decodeFeedMessage(sent as Parameters<typeof decodeFeedMessage>[0]);
    return message.kind === 'change' ? message.items[0].value : message;
  };
  t.is(read('targets', { id: 'o-1', address: '127.0.0.1:70000' }), undefined);
  t.deepEqual(read('vms', { vms: [oddVm, vm] }), { vms: [vm] });
  t.is(decodeFollowRequest({ revisions: {}, announce: oddVm }).announce, undefined);
  t.deepEqual(decodeFollowRequest({ revisions: {}, announce: vm }).announce, vm);
});

// Guards against a line that fails outside the handling of unreadable lines.
test('a change of an unknown section is unreadable', (t) => {
  const line = '{"kind":"change","section":"constructor","items":[],"revision":1}\n';
  t.throws(() => new FeedReader(decodeFeedMessage).read(line), { name: 'TypeError' });
});
