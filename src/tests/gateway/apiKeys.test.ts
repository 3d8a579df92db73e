import { Socket as UdpSocket } from 'node:dgram';
import { connect } from 'node:net';

import type { ExecutionContext } from 'ava';
import test from 'ava';

import { decodeFeedMessage, FeedReader, writeFeedMessage } from '../../fleet/feedMessages.js';
import { FORWARD_HEADER } from '../../gateway/forwardHeaders.js';
import {
  readIdentity,
  writeCallerHeaders,
  writeClaimedOrganisations,
} from '../../platform/standIn/index.js';
import { explainRequest } from '../../report/explainRequest.js';
import { FaultProxy } from '../../soak/FaultProxy.js';
import { ROUTE } from '../balancing/scene.js';
import type { CallerSocket } from './CallerSocket.js';
import { ALLOWED_MS } from './CallerSocket.js';
import type { HarnessOptions } from './GatewayHarness.js';
import { GatewayHarness } from './GatewayHarness.js';

const KEY = 'x42q492cqf75rjvz48wu';
const KEPT_KEY = 'kept42q492cqf75rjvz4';
const ACME = { name: 'acme', apiKeys: [KEY, KEPT_KEY] };
const WITHOUT_KEY = { name: 'acme', apiKeys: [KEPT_KEY] };
const EXEMPT_ROUTE = { ...ROUTE, name: 'open', pathPrefix: '/open/', isAuthExempt: true };
const OPTIONS: HarnessOptions = { organisations: [ACME], extraRoutes: [EXEMPT_ROUTE] };

/** Time within which a changed configuration has to be in force, in milliseconds. */
const CONFIGURATION_MS = 2_500;

async function startHarness(t: ExecutionContext, options = OPTIONS): Promise<GatewayHarness> {
  const harness = await GatewayHarness.start(options);
  t.teardown(() => harness.stop());
  return harness;
}

interface SentRequest {
  readonly id: string;
  readonly key?: string;
  readonly path?: string;
  readonly method?: string;
  /** Further headers, as alternating names and values. */
  readonly headers?: readonly string[];
  readonly body?: string;
}

function send(caller: CallerSocket, { id, key, path = '/horaires/x', ...rest }: SentRequest): void {
  const { method = 'GET', headers = [], body = '' } = rest;
  const own = Object.entries(writeCallerHeaders(id, ALLOWED_MS, key)).flat();
  const lines = ['Host', 'door.example', ...own, ...headers];
  const head = lines.map((text, i) => (i % 2 === 0 ? `${text}: ` : `${text}\r\n`)).join('');
  caller.socket.write(`${method} ${path} HTTP/1.1\r\n${head}\r\n${body}`);
}

/** Sends a request that reaches the target; returns what the target was told of its caller. */
async function getIdentity(harness: GatewayHarness, caller: CallerSocket, request: SentRequest) {
  const { startedIds } = harness;
  send(caller, request);
  await harness.waitUntil(() => startedIds.at(-1) === request.id);
  harness.release(request.id);
  await harness.waitUntil(() => caller.answeredIds.includes(request.id));
  return readIdentity(harness.lastRawHeaders);
}

// A target would believe a forged name, or could use the key of the organisation itself.
test('a target gets the organisation of the key once and no key, whatever the caller claims', async (t) => {
  const harness = await startHarness(t);
  const caller = await harness.connect();
  const headers = writeClaimedOrganisations(['victim', 'victim', 'acme']);
  const expected = { organisations: ['acme'], apiKeys: [] };
  t.deepEqual(await getIdentity(harness, caller, { id: 'a', key: KEY, headers }), expected);
  const repeated = ['X-MASTICLINK-CREDENTIAL', KEY];
  const twice = { id: 'b', key: KEY, headers: repeated };
  t.deepEqual(await getIdentity(harness, caller, twice), expected);
  const open = { id: 'c', path: '/open/x', headers };
  t.deepEqual(await getIdentity(harness, caller, open), { organisations: [], apiKeys: [] });
  t.deepEqual(await getIdentity(harness, caller, { ...open, id: 'd', key: KEY }), expected);
});

// Deployments without organisations may use the headers in their own way.
test('without organisations, both headers pass through', async (t) => {
  const harness = await startHarness(t, {});
  const caller = await harness.connect();
  const headers = writeClaimedOrganisations(['one', 'two']);
  t.deepEqual(await getIdentity(harness, caller, { id: 'a', key: KEY, headers }), {
    organisations: ['one', 'two'],
    apiKeys: [KEY],
  });
});

// Anyone could write the header by which VMs pass requests on; here it even comes from a VM's address.
test('a caller that claims to be a VM needs a key as well', async (t) => {
  const harness = await startHarness(t);
  const caller = await harness.connect();
  const headers = [
    FORWARD_HEADER,
    'targets=1; since=0; service=horaires',
    ...writeClaimedOrganisations(['acme']),
  ];
  send(caller, { id: 'a', headers });
  await harness.waitUntil(() => caller.statuses.length === 1);
  t.deepEqual(caller.statuses, [401]);
  t.deepEqual(harness.startedIds, []);
});

// The connection's first request proves nothing about the next one.
test('a key that is removed is refused on a connection that is kept alive', async (t) => {
  const harness = await startHarness(t);
  const caller = await harness.connect();
  await getIdentity(harness, caller, { id: 'a', key: KEY });
  harness.publish({ ...OPTIONS, organisations: [WITHOUT_KEY] });
  await harness.waitUntil(() => harness.gateway.state.table?.version === 2);
  send(caller, { id: 'b', key: KEY });
  await harness.waitUntil(() => caller.statuses.length === 2);
  await getIdentity(harness, caller, { id: 'c', key: KEPT_KEY });
  t.deepEqual(caller.statuses, [200, 401, 200]);
  t.deepEqual(harness.startedIds, ['a', 'c']);
});

// A VM without the store would go on to serve a customer whose key was taken away.
test('a key is removed at a VM that the store is away from, by the configuration from a peer', async (t) => {
  const harness = await startHarness(t);
  const link = new FaultProxy(harness.store.address);
  const ports = await harness.startOther(await link.start());
  t.teardown(() => link.stop());
  const caller = await harness.connect(ports[0]);
  await getIdentity(harness, caller, { id: 'a', key: KEY });
  link.setMode('reset');
  const publishedAt = performance.now();
  harness.publish({ ...OPTIONS, organisations: [WITHOUT_KEY] });
  const { logLines } = harness;
  await harness.waitUntil(() => {
    const lines = logLines.filter(({ event }) => event === 'config.adopted');
    return lines.filter((line) => (line as { version?: number }).version === 2).length === 2;
  });
  t.true(performance.now() - publishedAt < CONFIGURATION_MS);
  send(caller, { id: 'b', key: KEY });
  await harness.waitUntil(() => caller.statuses.length === 2);
  t.deepEqual(caller.statuses, [200, 401]);
});

// The body of a refused request would be read as the next request, or its caller would see a reset.
test('a refused request with a small body leaves its connection usable', async (t) => {
  const harness = await startHarness(t);
  const caller = await harness.connect();
  send(caller, { id: 'a', method: 'POST', headers: ['Content-Length', '10'], body: 'abc' });
  await harness.waitUntil(() => caller.statuses.length === 1);
  caller.socket.write('defghij');
  await getIdentity(harness, caller, { id: 'b', key: KEY });
  t.deepEqual(caller.statuses, [401, 200]);
  t.notRegex(caller.received, /connection: close/i);
});

const CLOSING_HEADERS: Readonly<Record<string, readonly string[]>> = {
  'a large body': ['Content-Length', '200000'],
  'a body of unknown length': ['Transfer-Encoding', 'chunked'],
  'a body that awaits 100 Continue': ['Content-Length', '10', 'Expect', '100-continue'],
};

// A VM would read megabytes for callers without a key; what follows on the connection would run
// although its caller has to send it again.
for (const [what, headers] of Object.entries(CLOSING_HEADERS)) {
  test(`a refused request with ${what} closes its connection after the answer`, async (t) => {
    const harness = await startHarness(t);
    const caller = await harness.connect();
    const body = headers.includes('chunked') ? '0\r\n\r\n' : 'x'.repeat(Number(headers[1]));
    // Its target's reading is fresh, so that a request is sent at once, before the connection ends.
    await getIdentity(harness, await harness.connect(), { id: 'first', key: KEY });
    caller.socket.cork();
    send(caller, { id: 'a', method: 'POST', headers, body });
    send(caller, { id: 'b', key: KEY });
    caller.socket.uncork();
    await harness.waitUntil(() => caller.isEnded);
    await harness.pause(300);
    t.regex(caller.received, /connection: close/i);
    t.deepEqual(caller.statuses, [401]);
    t.deepEqual(harness.startedIds, ['first']);
  });
}

/** Records the datagrams that VMs of this process send. */
function recordDatagrams(): string[] {
  const sent: string[] = [];
  const { send: original } = UdpSocket.prototype;
  UdpSocket.prototype.send = function sendRecorded(this: UdpSocket, ...args: unknown[]) {
    sent.push(String(args[0]));
    return (original as (...each: unknown[]) => void).apply(this, args);
  } as typeof original;
  return sent;
}

/** Follows a VM's feed for a while; returns its messages, unpacked. */
async function readFeed(harness: GatewayHarness, port: number): Promise<string> {
  const reader = new FeedReader(decodeFeedMessage);
  const messages: unknown[] = [];
  const socket = connect(port, '127.0.0.1');
  socket.setEncoding('utf8');
  socket.on('data', (text: string) => messages.push(...reader.read(text)));
  socket.write(writeFeedMessage({ positions: {} }));
  await harness.waitUntil(() => JSON.stringify(messages).includes('acme'));
  socket.destroy();
  return JSON.stringify(messages);
}

// Whoever reads a log, a metric or the messages between VMs could send requests for the customer.
test('no key appears in what a gateway writes or sends', async (t) => {
  const datagrams = recordDatagrams();
  const harness = await startHarness(t);
  await harness.startOther(harness.store.address);
  const caller = await harness.connect();
  await getIdentity(harness, caller, { id: 'a', key: KEY });
  send(caller, { id: 'b', key: `${KEY}-unknown` });
  await harness.waitUntil(() => caller.statuses.length === 2);
  const twin = { name: 'twin', apiKeys: [KEY] };
  harness.publish({ organisations: [ACME, twin] });
  await harness.waitUntil(() => harness.logLines.some(({ event }) => event === 'store.unreadable'));
  const [, , , peers, metrics] = harness.ports;
  const feed = await readFeed(harness, peers);
  const answer = await fetch(`http://127.0.0.1:${metrics}/metrics`);
  const metricsText = await answer.text();
  t.regex(metricsText, /unknownKey/);
  t.true(datagrams.length > 0);
  const lines = harness.logLines.map((line) => JSON.stringify(line));
  const announced = JSON.stringify([...harness.store.copy().objectsByKind.get('entry-vms')!]);
  const written = {
    log: lines.join('\n'),
    explained: ['a', 'b'].flatMap((id) => explainRequest(lines, id)).join('\n'),
    metrics: metricsText,
    feed,
    datagrams: datagrams.join('\n'),
    announced,
    answers: caller.received,
  };
  for (const [what, text] of Object.entries(written)) {
    t.true(text.length > 0, what);
    t.false(text.includes(KEY), what);
  }
  t.like(
    harness.logLines.find(({ event, id }) => event === 'request.answered' && id === 'a'),
    { organisation: 'acme' },
  );
});
