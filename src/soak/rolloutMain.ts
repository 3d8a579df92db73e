import type { TargetBehaviour } from '../platform/standIn/index.js';
import { runRolloutTrial } from './runRolloutTrial.js';

const BEHAVIOURS: Readonly<Record<string, TargetBehaviour>> = {
  good: 'sound',
  fails: 'fails',
  slow: 'slow',
  slowWhenFull: 'slowWhenFull',
};

const GATEWAY_COUNT = 6;

function readFlag(flag: string, fallback: string): string {
  const at = process.argv.indexOf(`--${flag}`);
  return at < 0 ? fallback : (process.argv[at + 1] ?? fallback);
}

/** Rolls out one version on loopback and prints the result. */
async function main(): Promise<void> {
  const version = readFlag('version', 'good');
  const behaviour = BEHAVIOURS[version];
  const durationMs = Number(readFlag('seconds', '12')) * 1_000;
  const behaviourAfterMs = Number(readFlag('after', '0')) * 1_000;
  if (behaviour === undefined || !(durationMs > 0) || !(behaviourAfterMs >= 0)) {
    const names = Object.keys(BEHAVIOURS).join(', ');
    throw new RangeError(
      `--version takes ${names}; --seconds and --after take seconds, such as 12 and 4`,
    );
  }
  const result = await runRolloutTrial({
    gateways: GATEWAY_COUNT,
    behaviour,
    behaviourAfterMs,
    durationMs,
    onState: (state, atMs) =>
      process.stdout.write(`${(atMs / 1_000).toFixed(1)} s after the order: ${state}\n`),
  });
  const { exposed, allowed, runs, lost, refused, requests, dir } = result;
  process.stdout.write(
    `${exposed} of ${runs} requests went to the new version (limit for a bad one: ${Math.floor(allowed)})\n` +
      `${lost} of ${requests} requests were lost, ${refused} refused; logs in ${dir}\n`,
  );
}

main().catch((err: Error) => {
  process.stderr.write(`${err.message}\n`);
  process.exitCode = 2;
});
