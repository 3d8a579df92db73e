import { createHash, randomBytes } from 'node:crypto';
import { once } from 'node:events';
import type { IncomingMessage, RequestListener, ServerResponse } from 'node:http';

import test from 'ava';
import { request } from 'undici';

import {
  getAttemptCount,
  startEntryWithHandler,
  startTestPlatform,
  waitUntil,
} from './fixtures.js';

const HORAIRES = { host: 'horaires' };

test('request and answer bodies are streamed completely', async (t) => {
  const platform = await startTestPlatform();
  t.teardown(() => platform.stop());
  const entry = await startEntryWithHandler(platform, (req, res) => {
    res.writeHead(200);
    req.pipe(res);
  });
  const sent = randomBytes(60 * 1024);
  const { statusCode, body } = await request(`http://${entry.address}/x`, {
    method: 'POST',
    headers: HORAIRES,
    body: sent,
  });
  t.is(statusCode, 200);
  const received = Buffer.from(await body.arrayBuffer());
  t.is(
    createHash('sha256').update(received).digest('hex'),
    createHash('sha256').update(sent).digest('hex'),
  );
});

test('an answer much larger than any buffer is relayed with backpressure', async (t) => {
  const platform = await startTestPlatform();
  t.teardown(() => platform.stop());
  const sentChunk = Buffer.alloc(64 * 1024, 'x');
  const chunkCount = 800;
  let written = 0;
  // The test is about backpressure; a shorter deadline, missed on a busy machine, would truncate
  // the answer.
  const longTimeout = { timeoutMs: 60_000 };
  const send: RequestListener = (_req, res) => {
    res.writeHead(200);
    const write = (): void => {
      while (written < chunkCount) {
        written += 1;
        if (!res.write(sentChunk)) {
          res.once('drain', write);
          return;
        }
      }
      res.end();
    };
    write();
  };
  const entry = await startEntryWithHandler(platform, send, longTimeout);
  const { body } = await request(`http://${entry.address}/x`, { headers: HORAIRES });
  const [first] = (await once(body, 'data')) as [Buffer];
  body.pause();
  let previous = -1;
  // The target stops writing once all buffers between it and the caller are full.
  for (let same = 0; same < 20; same = written === previous ? same + 1 : 0) {
    previous = written;
    await new Promise((resolve) => {
      setTimeout(resolve, 10);
    });
  }
  t.true(written < chunkCount);
  let size = first.length;
  for await (const chunk of body) size += (chunk as Buffer).length;
  t.is(size, chunkCount * sentChunk.length);
});

test('answers without a body are relayed without one', async (t) => {
  const platform = await startTestPlatform();
  t.teardown(() => platform.stop());
  const entry = await startEntryWithHandler(platform, (req, res) => {
    if (req.url === '/none') res.writeHead(204).end();
    else if (req.url === '/same') res.writeHead(304, { etag: '"a"' }).end();
    else {
      res.writeHead(200, { 'content-length': 10 }).end(req.method === 'HEAD' ? '' : '0123456789');
    }
  });
  const send = async (method: 'GET' | 'HEAD', path: string): Promise<[number, string]> => {
    const { statusCode, body } = await request(`http://${entry.address}${path}`, {
      method,
      headers: HORAIRES,
    });
    return [statusCode, await body.text()];
  };
  t.deepEqual(await send('GET', '/none'), [204, '']);
  t.deepEqual(await send('GET', '/same'), [304, '']);
  t.deepEqual(await send('HEAD', '/x'), [200, '']);
  t.deepEqual(await send('GET', '/x'), [200, '0123456789']);
});

test('a truncated answer ends with an error at the caller', async (t) => {
  // The target fails in the middle of an answer without a declared length. With a clean end, the
  // caller would take the partial answer for a complete one.
  const platform = await startTestPlatform();
  t.teardown(() => platform.stop());
  const entry = await startEntryWithHandler(platform, (_req, res) => {
    res.writeHead(200);
    res.write('08:00 loutres', () => res.socket?.destroy());
  });
  const { statusCode, body } = await request(`http://${entry.address}/x`, { headers: HORAIRES });
  t.is(statusCode, 200);
  await t.throwsAsync(body.text());
});

test('a request whose target disconnects before it answers has the outcome unknown', async (t) => {
  // The target received the request and closed the connection, so the request may have run. With
  // the outcome "not-run", the caller would send it again and it could run twice.
  const platform = await startTestPlatform();
  t.teardown(() => platform.stop());
  let requestCount = 0;
  const entry = await startEntryWithHandler(platform, (req) => {
    requestCount += 1;
    req.socket.destroy();
  });
  const { statusCode, headers, body } = await request(`http://${entry.address}/x`, {
    method: 'POST',
    headers: HORAIRES,
    body: 'a dive',
  });
  await body.dump();
  t.is(statusCode, 502);
  t.is(headers['masticlink-outcome'], 'unknown');
  t.is(requestCount, 1);
});

test('a request is not sent again when its target closes the idle connection it was sent on', async (t) => {
  // Targets close idle connections after a while. One that does so just as a request is sent may or
  // may not have read it. Sending the request again over a new connection could run it twice, so
  // the caller gets the outcome "unknown".
  const platform = await startTestPlatform();
  t.teardown(() => platform.stop());
  const uids: string[] = [];
  const entry = await startEntryWithHandler(platform, (req, res) => {
    uids.push(String(req.headers['x-request-id']));
    if (uids.length === 2) req.socket.destroy();
    else res.writeHead(200, { 'content-length': 2 }).end('ok');
  });
  const send = async (uid: string): Promise<[number, unknown]> => {
    const { statusCode, headers, body } = await request(`http://${entry.address}/x`, {
      method: 'POST',
      headers: { ...HORAIRES, 'x-request-id': uid },
      body: 'a payment',
    });
    await body.dump();
    return [statusCode, headers['masticlink-outcome']];
  };
  t.deepEqual(await send('first'), [200, undefined]);
  t.deepEqual(await send('second'), [502, 'unknown']);
  t.deepEqual(uids, ['first', 'second']);
});

test('a caller that disconnects frees its slot immediately', async (t) => {
  // The caller disconnects while the target processes its request. A slot that stayed occupied for
  // an answer without a recipient would be missing for the next request.
  const platform = await startTestPlatform();
  t.teardown(() => platform.stop());
  const receivedRequests: IncomingMessage[] = [];
  const closedAnswers: ServerResponse[] = [];
  const entry = await startEntryWithHandler(platform, (req, res) => {
    receivedRequests.push(req);
    res.on('close', () => closedAnswers.push(res));
  });
  const controller = new AbortController();
  const pendingAnswer = request(`http://${entry.address}/x`, {
    headers: HORAIRES,
    signal: controller.signal,
  });
  await waitUntil(() => receivedRequests.length === 1);
  controller.abort(new Error('the caller disconnected'));
  await t.throwsAsync(pendingAnswer);
  await waitUntil(() => closedAnswers.length === 1 && getAttemptCount(entry) === 0);
  t.pass();
});

test('the deadline is passed to the target, and the request fails when it expires', async (t) => {
  const platform = await startTestPlatform();
  t.teardown(() => platform.stop());
  const deadlines: number[] = [];
  const entry = await startEntryWithHandler(platform, (req) => {
    deadlines.push(Number(req.headers['masticlink-deadline-ms']));
  });
  const { statusCode, headers, body } = await request(`http://${entry.address}/x`, {
    method: 'POST',
    headers: { ...HORAIRES, 'masticlink-deadline-ms': '150' },
  });
  await body.dump();
  t.is(statusCode, 504);
  t.is(headers['masticlink-outcome'], 'unknown');
  t.is(deadlines.length, 1);
  t.true(deadlines[0] <= 150);
});

test('a request that could not be sent to any target has the outcome not-run', async (t) => {
  // Every target of the service refuses connections. No byte of the request was sent, so its caller
  // can safely retry it.
  const platform = await startTestPlatform();
  t.teardown(() => platform.stop());
  const entry = await startEntryWithHandler(platform, (_req, res) => res.end());
  await platform.targets[0].stop();
  const { headers, body } = await request(`http://${entry.address}/x`, {
    method: 'POST',
    headers: { ...HORAIRES, 'masticlink-deadline-ms': '300' },
    body: 'a dive',
  });
  await body.dump();
  t.is(headers['masticlink-outcome'], 'not-run');
});
