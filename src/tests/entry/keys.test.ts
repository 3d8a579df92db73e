import test from 'ava';
import { request } from 'undici';

import type { EntryProcess } from '../../entry/index.js';
import { startEntryWithHandler, startEntryPair, startTestPlatform, waitUntil } from './fixtures.js';

interface Answer {
  readonly status: number;
  readonly outcome: unknown;
  readonly replayed: unknown;
  readonly body: string;
}

async function book(entry: EntryProcess, body: string, key = 'dive-7'): Promise<Answer> {
  const answer = await request(`http://${entry.address}/dives`, {
    method: 'POST',
    headers: { host: 'horaires', 'idempotency-key': key },
    body,
  });
  return {
    status: answer.statusCode,
    outcome: answer.headers['masticlink-outcome'],
    replayed: answer.headers['masticlink-replayed'],
    body: await answer.body.text(),
  };
}

test('a request retried with its key at another entry VM gets the first answer', async (t) => {
  // The caller lost the answer and retries at the next entry VM on its list. Without the stored
  // answer, the request would run twice.
  const platform = await startTestPlatform();
  t.teardown(() => platform.stop());
  let bookingCount = 0;
  const { holder, other } = await startEntryPair(platform, (_req, res) => {
    bookingCount += 1;
    res.writeHead(201, { 'content-type': 'text/plain' }).end(`booking ${bookingCount}`);
  });
  const first = await book(other, 'two places');
  t.deepEqual([first.status, first.body, first.replayed], [201, 'booking 1', undefined]);
  const retry = async (entry: EntryProcess): Promise<Answer> => {
    // Until the end of the first request reaches the key's home, the entry VM that manages the
    // key, the request counts as in progress.
    let answer = await book(entry, 'two places');
    while (answer.status === 409) answer = await book(entry, 'two places');
    return answer;
  };
  for (const entry of [holder, other]) {
    const { status, body, replayed } = await retry(entry);
    t.deepEqual([status, body, replayed], [201, 'booking 1', 'true']);
  }
  const mismatch = await book(holder, 'three places');
  t.deepEqual([mismatch.status, mismatch.outcome], [422, 'not-run']);
  t.is(bookingCount, 1);
});

test('a request with the key of a running request gets a conflict', async (t) => {
  // The caller sends the same request twice. The second one arrives while the first is still
  // running at the target.
  const platform = await startTestPlatform();
  t.teardown(() => platform.stop());
  let release: (() => void) | undefined;
  const entry = await startEntryWithHandler(platform, (_req, res) => {
    release = () => res.end('booked');
  });
  const first = book(entry, 'two places');
  await waitUntil(() => release !== undefined);
  const second = await book(entry, 'two places');
  // The request with this key is running, so the outcome "not-run" would be wrong.
  t.deepEqual([second.status, second.outcome], [409, 'unknown']);
  release?.();
  t.is((await first).body, 'booked');
});

test('a request is refused before it is sent if the record of its key can not be written', async (t) => {
  // The store is down. A request sent without a record of its key could be run again by another
  // entry VM, which would not know of the first run.
  const platform = await startTestPlatform();
  t.teardown(() => platform.stop());
  let requestCount = 0;
  const entry = await startEntryWithHandler(platform, (_req, res) => {
    requestCount += 1;
    res.end('booked');
  });
  platform.store.model.faults.down = 'hanging';
  const { status, outcome } = await book(entry, 'two places');
  t.deepEqual([status, outcome, requestCount], [503, 'not-run', 0]);
});

test('a claim whose store answer was lost still runs its request once', async (t) => {
  // The store wrote the record of the key, but its answer was lost. The process has to read the
  // record back: treating the write as failed would refuse the request permanently, and claiming
  // the key anew could run it twice.
  const platform = await startTestPlatform();
  t.teardown(() => platform.stop());
  let requestCount = 0;
  const entry = await startEntryWithHandler(platform, (_req, res) => {
    requestCount += 1;
    res.end('booked');
  });
  let lostAnswers = 0;
  platform.store.model.faults.losesAnswer = (op) => {
    if (op.op !== 'put' || !op.key.startsWith('keys/') || lostAnswers > 0) return false;
    lostAnswers += 1;
    return true;
  };
  const first = await book(entry, 'two places');
  t.is(lostAnswers, 1);
  let latest = first;
  while (latest.status !== 200) latest = await book(entry, 'two places');
  t.is(latest.body, 'booked');
  t.is(requestCount, 1);
});
