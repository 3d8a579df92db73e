import test from 'ava';

import { readTargetHead } from '../../platform/index.js';

const VALUES = ['1.3', '0', '0.4', '20', ' 6 ', '-1', 'abc', '1e9', '', '6, 1.3', '6, abc'];

test('a limit is parsed as a decimal number, and the lowest of several applies', (t) => {
  const read = (limit: string) => readTargetHead({ 'server-limit': limit }, true, 0).limit;
  t.snapshot(VALUES.map((value) => `${JSON.stringify(value)} → ${String(read(value))}`));
  t.is(readTargetHead({}, true, 0).limit, undefined);
});
