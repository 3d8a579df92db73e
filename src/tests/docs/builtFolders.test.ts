import { readFileSync } from 'node:fs';
import { join } from 'node:path';

import test from 'ava';
import { ESLint } from 'eslint';
import { getFileInfo } from 'prettier';

const FOLDERS = readFileSync('.gitignore', 'utf8')
  .split('\n')
  .filter((line) => line.endsWith('/'));

test('what is built is no source to the linter and the formatter', async (t) => {
  // Who plays a day as README says has a bundle in `target/` afterwards. The linter read it, so that
  // `npm test` failed on a clean checkout in which nothing had been changed.
  t.true(FOLDERS.length > 1);
  const linter = new ESLint();
  for (const folder of FOLDERS) {
    const bundle = join(folder, 'masticlink.cjs');
    t.true(await linter.isPathIgnored(bundle), `linter: ${bundle}`);
    const { ignored } = await getFileInfo(bundle, { ignorePath: '.prettierignore' });
    t.true(ignored, `formatter: ${bundle}`);
  }
});
