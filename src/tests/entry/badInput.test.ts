import { connect } from 'node:net';

import test from 'ava';
import { request } from 'undici';

import type { EntryProcess } from '../../entry/index.js';
import { BOUNDS, pushConfiguration, startEntryWithTarget, startTestPlatform } from './fixtures.js';

interface Refusal {
  readonly status: number;
  readonly outcome: string | undefined;
  readonly code: string;
}

/** Sends a raw request and returns everything received until the connection closes. */
function sendRaw(entry: EntryProcess, text: string): Promise<string> {
  const [host, port] = entry.address.split(':');
  return new Promise((resolve, reject) => {
    const socket = connect(Number(port), host, () => socket.write(text));
    let answer = '';
    socket.on('data', (chunk) => {
      answer += chunk.toString('latin1');
    });
    socket.on('close', () => resolve(answer));
    socket.on('error', reject);
  });
}

async function send(
  entry: EntryProcess,
  path: string,
  options: { headers?: Record<string, string>; body?: Buffer | AsyncIterable<Buffer> } = {},
): Promise<Refusal> {
  const { statusCode, headers, body } = await request(`http://${entry.address}${path}`, {
    method: options.body === undefined ? 'GET' : 'POST',
    headers: options.headers,
    body: options.body as Buffer,
  });
  const { title } = (await body.json()) as { title: string };
  return {
    status: statusCode,
    outcome: headers['masticlink-outcome'] as string | undefined,
    code: title,
  };
}

async function* chunks(bytes: number): AsyncGenerator<Buffer> {
  for (let sent = 0; sent < bytes; sent += 1_024) yield Buffer.alloc(1_024);
}

test('invalid requests get specific error answers, and the process keeps serving', async (t) => {
  const platform = await startTestPlatform();
  t.teardown(() => platform.stop());
  const { entry } = await startEntryWithTarget(platform);
  const horaires = { host: 'horaires' };
  const tooLarge = Buffer.alloc(BOUNDS.bodyBytes + 1);
  t.snapshot(
    {
      unknownService: await send(entry, '/x', { headers: { host: 'nowhere' } }),
      declaredTooLarge: await send(entry, '/x', { headers: horaires, body: tooLarge }),
      grownTooLarge: await send(entry, '/x', {
        headers: horaires,
        body: chunks(BOUNDS.bodyBytes + 2_048),
      }),
      keyedTooLarge: await send(entry, '/x', {
        headers: { ...horaires, 'idempotency-key': 'k' },
        body: chunks(BOUNDS.replayBytes + 1_024),
      }),
      upgrade: await sendRaw(
        entry,
        'GET / HTTP/1.1\r\nHost: horaires\r\nConnection: upgrade, close\r\nUpgrade: websocket\r\n\r\n',
      ).then((answer) => answer.split('\r\n')[0]),
      noToken: await send(entry, '/v1/admin/fleet'),
      wrongToken: await send(entry, '/v1/admin/fleet', { headers: { authorization: 'Bearer no' } }),
      notFound: await send(entry, '/v1/admin/nothing', {
        headers: { authorization: 'Bearer secret' },
      }),
      badPush: await send(entry, '/v1/admin/configuration', {
        headers: { authorization: 'Bearer secret', 'content-type': 'application/json' },
        body: Buffer.from('{"root":{}}'),
      }),
      notJson: await send(entry, '/v1/admin/configuration', {
        headers: { authorization: 'Bearer secret', 'content-type': 'application/json' },
        body: Buffer.from('{'),
      }),
    },
    'by request',
  );
  const answer = await request(`http://${entry.address}/x`, { headers: horaires });
  t.is(answer.statusCode, 200);
  await answer.body.dump();
});

test('bytes that are not a valid request get an error answer', async (t) => {
  const platform = await startTestPlatform();
  t.teardown(() => platform.stop());
  const { entry } = await startEntryWithTarget(platform);
  const head = async (text: string): Promise<string> =>
    (await sendRaw(entry, text)).split('\r\n')[0];
  t.is(await head('THIS IS NOT HTTP\r\n\r\n'), 'HTTP/1.1 400 Bad Request');
  t.is(
    await head('GET / HTTP/1.1\r\nHost: horaires\r\nHost: plongee\r\nConnection: close\r\n\r\n'),
    'HTTP/1.1 400 Bad Request',
  );
  t.is(
    await head(`GET / HTTP/1.1\r\nHost: horaires\r\nX: ${'x'.repeat(BOUNDS.headerBytes)}\r\n\r\n`),
    'HTTP/1.1 431 Request Header Fields Too Large',
  );
  t.is(
    await head('CONNECT horaires:80 HTTP/1.1\r\nHost: horaires\r\n\r\n'),
    'HTTP/1.1 501 Not Implemented',
  );
});

test('a caller that sends Expect: 100-continue is not asked for a body that is too large', async (t) => {
  const platform = await startTestPlatform();
  t.teardown(() => platform.stop());
  const { entry } = await startEntryWithTarget(platform);
  const ask = (bytes: number): string =>
    `POST /x HTTP/1.1\r\nHost: horaires\r\nExpect: 100-continue\r\nConnection: close\r\n` +
    `Content-Length: ${bytes}\r\n\r\n`;
  t.regex(await sendRaw(entry, `${ask(2)}ab`), /^HTTP\/1.1 100 Continue\r\n\r\nHTTP\/1.1 200/u);
  t.regex(await sendRaw(entry, ask(BOUNDS.bodyBytes + 1)), /^HTTP\/1.1 413/u);
});

test('a service can be selected by a path prefix', async (t) => {
  const platform = await startTestPlatform();
  t.teardown(() => platform.stop());
  const { entry } = await startEntryWithTarget(platform, { pathPrefix: '/horaires' });
  const get = async (path: string): Promise<number> => {
    const { statusCode, body } = await request(`http://${entry.address}${path}`);
    await body.dump();
    return statusCode;
  };
  t.is(await get('/horaires/aujourdhui'), 200);
  t.is(await get('/horaires?x=1'), 200);
  t.is(await get('/horairesplus'), 404);
  await t.throwsAsync(pushConfiguration(entry, { root: {} as never, services: [] }));
});
