import { readFileSync } from 'node:fs';

import test from 'ava';

import { VERSION } from '../../core/version.js';

test('VERSION matches package.json', (t) => {
  const manifest = JSON.parse(
    readFileSync(new URL('../../../package.json', import.meta.url), 'utf8'),
  ) as { version: string };
  t.is(VERSION, manifest.version);
});
