/** Bundles the program and injects it into a copy of the Node.js that runs this script. */
import { execFileSync } from 'node:child_process';
import { chmodSync, copyFileSync, mkdirSync, writeFileSync } from 'node:fs';

import { build } from 'esbuild';

const OUT = 'build';
const BINARY = `${OUT}/masticlink`;
const SENTINEL = 'NODE_SEA_FUSE_fce680ab2cc467b6e072b8b5df1996b2';

/**
 * Runs before the bundle. nest asks for optional packages that are not in the binary; the runtime
 * warns of each on standard error and would otherwise have to look for them on the machine's disk.
 */
const BANNER = `
const __bundleUrl = require('node:url').pathToFileURL(__filename).href;
const __requireBuiltin = require;
require = Object.assign((id) => {
  if (__requireBuiltin('node:module').isBuiltin(id)) return __requireBuiltin(id);
  throw Object.assign(new Error('not part of the binary: ' + id), { code: 'MODULE_NOT_FOUND' });
}, __requireBuiltin);`;

mkdirSync(OUT, { recursive: true });
await build({
  entryPoints: ['dist/cli/main.js'],
  bundle: true,
  platform: 'node',
  target: 'node20',
  format: 'cjs',
  outfile: `${OUT}/masticlink.cjs`,
  // Optional parts of nest that this project does not install.
  external: [
    '@nestjs/microservices',
    '@nestjs/microservices/*',
    '@nestjs/websockets',
    '@nestjs/websockets/*',
    '@nestjs/platform-express',
    '@fastify/static',
    '@fastify/view',
    'class-transformer',
    'class-transformer/*',
    'class-validator',
  ],
  define: { 'import.meta.url': '__bundleUrl' },
  banner: { js: BANNER },
  logLevel: 'error',
});
writeFileSync(
  `${OUT}/sea.json`,
  JSON.stringify({
    main: `${OUT}/masticlink.cjs`,
    output: `${OUT}/sea.blob`,
    disableExperimentalSEAWarning: true,
  }),
);
execFileSync(process.execPath, ['--experimental-sea-config', `${OUT}/sea.json`]);
copyFileSync(process.execPath, BINARY);
chmodSync(BINARY, 0o755);
execFileSync('npx', [
  'postject',
  BINARY,
  'NODE_SEA_BLOB',
  `${OUT}/sea.blob`,
  '--sentinel-fuse',
  SENTINEL,
]);
