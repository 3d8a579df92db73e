import test from 'ava';

import { readStatements } from '../../platform/index.js';

const SECONDS = ['3', ' 0.25 ', '0', '', '-1', '1e3', '3, 5', 'Wed, 21 Oct 2026 07:28:00 GMT'];

test('the pause that a rejection asks for is parsed as decimal seconds, not as a date', (t) => {
  const read = (text: string) => readStatements({ 'retry-after': text }, 503).pauseMs;
  t.snapshot(SECONDS.map((text) => `${JSON.stringify(text)} → ${String(read(text))}`));
  t.is(readStatements({}, 503).pauseMs, undefined);
});

// An application that answers one caller with 429 does not close its target to all others.
test('a pause is asked for by 503, and by 429 only if the request has not run', (t) => {
  const headers = { 'retry-after': '3' };
  const notRun = { ...headers, 'x-masticlink-not-executed': '1' };
  t.is(readStatements(headers, 503).pauseMs, 3_000);
  t.is(readStatements(headers, 429).pauseMs, undefined);
  t.is(readStatements(notRun, 429).pauseMs, 3_000);
  t.is(readStatements(headers, 200).pauseMs, undefined);
});

test('a target is draining if one value of its header is 1', (t) => {
  const read = (text: string) => readStatements({ 'server-leaving': text }, 200).isDraining;
  t.deepEqual(['1', ' 1 ', '1, 1', '0', '', 'no'].map(read), [
    true,
    true,
    true,
    false,
    false,
    false,
  ]);
  t.false(readStatements({}, 200).isDraining);
});

// Pages announce new headers of targets from time to time, and what nobody reads nobody acts on.
test('headers of the platform that nothing reads are found, others are not', (t) => {
  const headers = { 'server-mood': 'low', 'x-masticlink-new': '1', 'x-own': '1', server: 'any' };
  const read = { 'server-limit': '3', 'retry-after': '1', 'x-masticlink-warmup-ms': '0' };
  const { unreadHeaders } = readStatements({ ...headers, ...read }, 200);
  t.deepEqual(unreadHeaders, ['server-mood', 'x-masticlink-new']);
});
