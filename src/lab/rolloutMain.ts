import { CumulativeTest, WindowTest } from '../rollouts/index.js';
import { playRollout } from './playRollout.js';
import { ROLLOUT_PLANS } from './RolloutPlan.js';

/** Exposure bound of a bad version in all simulated rollouts. */
const BOUND = { share: 0.1, slack: 50 };

const TESTS = {
  cumulative: () => new CumulativeTest(),
  window: () => new WindowTest(),
} as const;

function getMean(values: readonly number[]): number {
  return values.reduce((sum, value) => sum + value, 0) / values.length;
}

/** Runs each rollout plan with each statistical test, over the same seeds. */
function main(): void {
  const at = process.argv.indexOf('--seeds');
  const seeds = at < 0 ? 20 : Number(process.argv[at + 1]);
  if (!Number.isInteger(seeds) || seeds < 1) {
    process.stderr.write('--seeds takes an integer of at least 1\n');
    process.exitCode = 2;
    return;
  }
  process.stdout.write(
    'plan          test        completed  rolled back  exposure  ended, s  lost\n',
  );
  for (const [name, plan] of Object.entries(ROLLOUT_PLANS)) {
    for (const [test, createTest] of Object.entries(TESTS)) {
      const results = Array.from({ length: seeds }, (_, i) =>
        playRollout(plan, i + 1, BOUND, createTest),
      );
      const count = (state: string) => results.filter((each) => each.state === state).length;
      const exposure = results.map(
        ({ exposed, requests }) => exposed / (BOUND.share * requests + BOUND.slack),
      );
      const ended = results.map(({ writtenAt }) => writtenAt / 1_000).filter(Number.isFinite);
      process.stdout.write(
        `${name.padEnd(14)}${test.padEnd(12)}${String(count('completed')).padStart(9)}  ` +
          `${String(count('rolledBack')).padStart(11)}  ` +
          `${Math.max(...exposure)
            .toFixed(2)
            .padStart(8)}  ${getMean(ended).toFixed(1).padStart(8)}  ` +
          `${Math.max(...results.map(({ lost }) => lost))
            .toString()
            .padStart(4)}\n`,
      );
    }
  }
}

main();
