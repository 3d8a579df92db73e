/** Bundles the gateway: a restart loads one small file, without the libraries of other commands. */
import { build } from 'esbuild';

await build({
  entryPoints: ['dist/gateway/main.js'],
  bundle: true,
  minify: true,
  keepNames: true,
  platform: 'node',
  target: 'node20',
  format: 'cjs',
  outfile: 'target/masticlink.cjs',
  logLevel: 'error',
});
