import sade from 'sade';

import { checkPromises } from './checkPromises.js';

interface PropertyFlags {
  readonly seed: number;
  readonly runs: number;
  readonly json: boolean;
}

const MOST_SEEN = 10;

function run({ seed, runs, json }: PropertyFlags): void {
  const outcome = checkPromises({ seed, runs });
  const print = (text: string) => process.stdout.write(`${text}\n`);
  if (json) print(JSON.stringify(outcome, null, 2));
  if (outcome.broken !== undefined) {
    process.exitCode = 1;
    if (json) return;
    print(
      `a promise was broken after ${outcome.runs} runs: ${JSON.stringify(outcome.broken.matrixCase)}`,
    );
    for (const { promise, at, detail } of outcome.broken.violations.slice(0, MOST_SEEN)) {
      print(`  ${promise} at ${Math.round(at)} ms: ${detail}`);
    }
  } else if (!json) {
    print(`${outcome.runs} random schedules of faults from seed ${seed}: all promises kept`);
  }
}

sade('properties', true)
  .describe('Tries random schedules of faults and tells the simplest that breaks a promise.')
  .option('--seed', 'for all random choices', 1)
  .option('--runs', 'schedules to try', 100)
  .option('--json', 'print one JSON document', false)
  .action((flags: unknown) => run(flags as PropertyFlags))
  .parse(process.argv);
