import sade from 'sade';

import type { FaultName } from './faults.js';
import { FAULT_NAMES } from './faults.js';
import { planMatrix } from './planMatrix.js';
import { formatMatrix, summarizeMatrix } from './printMatrix.js';
import type { MatrixCase, Strike, StrikePoint } from './runCase.js';
import { runCase } from './runCase.js';
import { runCasesInThreads } from './runMatrix.js';

interface MatrixFlags {
  readonly seed: number;
  readonly pairs: number;
  readonly every: number;
  readonly threads: number;
  readonly machines: number;
  readonly most: number;
  readonly strike?: string | string[];
  readonly trace: boolean;
  readonly json: boolean;
}

/** Reads `fault|step|point|occurrence`, as the list of broken cases gives it; or with commas. */
function readStrike(text: string): Strike {
  const [fault, step, point, occurrence] = text.split(/[|,]/);
  const isKnown = FAULT_NAMES.some((name) => name === fault);
  if (!isKnown || step === undefined || point === undefined) {
    throw new RangeError(
      `--strike: "${text}" is not fault|step|point|occurrence with a known fault`,
    );
  }
  return {
    fault: fault as FaultName,
    step,
    point: point as StrikePoint,
    occurrence: Number(occurrence),
  };
}

function listCases(flags: MatrixFlags): MatrixCase[] {
  const { seed, pairs, every, machines, strike } = flags;
  if (strike === undefined) return planMatrix({ seed, pairs, every });
  return [{ seed, machines, strikes: [strike].flat().map(readStrike), timed: [] }];
}

/** Prints all that is seen of one case as JSON lines, to find out why a promise was broken. */
function traceCase(matrixCase: MatrixCase): void {
  const print = (at: number, seen: object) =>
    process.stdout.write(`${at.toFixed(1)} ${JSON.stringify(seen)}\n`);
  const { violations } = runCase(matrixCase, print);
  violations.forEach((violation) => print(violation.at, violation));
}

async function run(flags: MatrixFlags): Promise<void> {
  const cases = listCases(flags);
  if (flags.trace) {
    cases.forEach(traceCase);
    return;
  }
  const showsProgress = process.stderr.isTTY && !flags.json;
  const results = await runCasesInThreads(cases, flags.threads, (done) => {
    if (showsProgress) process.stderr.write(`\r${done} of ${cases.length} cases`);
  });
  if (showsProgress) process.stderr.write('\n');
  const text = flags.json
    ? JSON.stringify(summarizeMatrix(results), null, 2)
    : formatMatrix(results, flags.most);
  process.stdout.write(`${text}\n`);
  if (results.some(({ violations }) => violations.length > 0)) process.exitCode = 1;
}

sade('matrix', true)
  .describe('Strikes with every fault at every step of every protocol and checks the promises.')
  .option('--seed', 'for all random choices', 1)
  .option('--pairs', 'pairs of faults to try', 0)
  .option('--every', 'only every so manyth single fault', 1)
  .option('--threads', 'threads to run in', 3)
  .option('--most', 'most broken cases to list', 20)
  .option('--machines', 'size of the fleet, with --strike', 3)
  .option('--strike', 'run one case: "fault|step|point|occurrence"; once or twice')
  .option('--trace', 'print all that is seen of the cases, as JSON lines', false)
  .option('--json', 'print one JSON document', false)
  .action((flags: unknown) => run(flags as MatrixFlags))
  .parse(process.argv);
