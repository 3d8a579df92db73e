import type { TargetBehaviour } from '../platform/standIn/index.js';
import { runRolloutTrial } from './runRolloutTrial.js';

const VERSIONS: Readonly<Record<string, TargetBehaviour>> = {
  good: 'sound',
  fails: 'fails',
  slow: 'slow',
  slowWhenFull: 'slowWhenFull',
};

const GATEWAYS = 6;

function readFlag(flag: string, fallback: string): string {
  const at = process.argv.indexOf(`--${flag}`);
  return at < 0 ? fallback : (process.argv[at + 1] ?? fallback);
}

/** Rolls one version out on loopback, and tells what became of it. */
async function main(): Promise<void> {
  const version = readFlag('version', 'good');
  const mood = VERSIONS[version];
  const durationMs = Number(readFlag('seconds', '12')) * 1_000;
  const moodAfterMs = Number(readFlag('after', '0')) * 1_000;
  if (mood === undefined || !(durationMs > 0) || !(moodAfterMs >= 0)) {
    const names = Object.keys(VERSIONS).join(', ');
    throw new RangeError(
      `--version takes ${names}; --seconds and --after take seconds, such as 12 and 4`,
    );
  }
  const result = await runRolloutTrial({
    gateways: GATEWAYS,
    mood,
    moodAfterMs,
    durationMs,
    onState: (state, atMs) =>
      process.stdout.write(`${(atMs / 1_000).toFixed(1)} s after the order: ${state}\n`),
  });
  const { exposed, allowed, runs, lost, refused, requests, dir } = result;
  process.stdout.write(
    `${exposed} of ${runs} requests went to the new version (a bad one may get ${Math.floor(allowed)})\n` +
      `${lost} of ${requests} requests were lost, ${refused} refused; logs in ${dir}\n`,
  );
}

main().catch((err: Error) => {
  process.stderr.write(`${err.message}\n`);
  process.exitCode = 2;
});
