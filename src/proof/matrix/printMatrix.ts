import type { CaseResult } from './runMatrix.js';
import type { MatrixCase, Strike } from './runCase.js';

interface Tally {
  tried: number;
  struck: number;
  broken: number;
}

/** A matrix in figures, for a program that reads it. */
export interface MatrixSummary {
  readonly cases: number;
  readonly struck: number;
  readonly steps: number;
  readonly faults: number;
  readonly broken: number;
  /** Broken promises by name: cases in which each was broken. */
  readonly byPromise: Readonly<Record<string, number>>;
  readonly violations: readonly {
    readonly command: string;
    readonly seen: readonly string[];
  }[];
}

const MOST_SEEN = 3;

function addTo(tallies: Map<string, Tally>, name: string, result: CaseResult): void {
  const tally = tallies.get(name) ?? { tried: 0, struck: 0, broken: 0 };
  tally.tried += 1;
  if (result.struck > 0) tally.struck += 1;
  if (result.violations.length > 0) tally.broken += 1;
  tallies.set(name, tally);
}

function formatStrike({ fault, step, point, occurrence }: Strike): string {
  return `${fault}|${step}|${point}|${occurrence}`;
}

/**
 * The command that runs one case again.
 * @param matrixCase - The case.
 */
export function getCommand({ seed, machines, strikes }: MatrixCase): string {
  const strike = strikes.map((each) => `--strike "${formatStrike(each)}"`).join(' ');
  return `npm run matrix -- --seed ${seed} --machines ${machines} ${strike}`;
}

/**
 * Sums a matrix up.
 * @param results - What was seen of its cases.
 */
export function summarizeMatrix(results: readonly CaseResult[]): MatrixSummary {
  const broken = results.filter(({ violations }) => violations.length > 0);
  const byPromise: Record<string, number> = {};
  for (const { violations } of broken) {
    for (const promise of new Set(violations.map((each) => each.promise))) {
      byPromise[promise] = (byPromise[promise] ?? 0) + 1;
    }
  }
  const strikes = results.flatMap(({ matrixCase }) => matrixCase.strikes);
  return {
    cases: results.length,
    struck: results.filter(({ struck }) => struck > 0).length,
    steps: new Set(strikes.map(({ step, point }) => `${step}|${point}`)).size,
    faults: new Set(strikes.map(({ fault }) => fault)).size,
    broken: broken.length,
    byPromise,
    violations: broken.map(({ matrixCase, violations }) => ({
      command: getCommand(matrixCase),
      seen: violations
        .slice(0, MOST_SEEN)
        .map(({ promise, at, detail }) => `${promise} at ${Math.round(at)} ms: ${detail}`),
    })),
  };
}

function formatTallies(title: string, tallies: ReadonlyMap<string, Tally>): string[] {
  const rows = [...tallies].map(
    ([name, { tried, struck, broken }]) =>
      `  ${name.padEnd(44)} ${String(tried).padStart(6)} ${String(struck).padStart(6)} ${String(broken).padStart(7)}`,
  );
  return [`${title.padEnd(46)}  tried struck  broken`, ...rows];
}

function formatTotals({ faults, steps, cases, struck, broken, byPromise }: MatrixSummary): string {
  const promises = Object.entries(byPromise).map(([name, count]) => `${name} ${count}`);
  const tried = `${faults} faults x ${steps} points of steps, ${cases} cases, ${struck} struck`;
  return `${tried}, ${broken} broke a promise${broken > 0 ? `: ${promises.join(', ')}` : ''}`;
}

/**
 * A matrix as text: by fault, by step, and the cases that broke a promise.
 * @param results - What was seen of its cases.
 * @param most - The most broken cases to list.
 */
export function formatMatrix(results: readonly CaseResult[], most: number): string {
  const byFault = new Map<string, Tally>();
  const byStep = new Map<string, Tally>();
  for (const result of results) {
    for (const { fault, step, point } of result.matrixCase.strikes) {
      addTo(byFault, fault, result);
      addTo(byStep, `${step} ${point}`, result);
    }
  }
  const summary = summarizeMatrix(results);
  const broken = summary.violations
    .slice(0, most)
    .flatMap(({ command, seen }) => [`  ${command}`, ...seen.map((line) => `    ${line}`)]);
  return [
    ...formatTallies('fault', byFault),
    ...formatTallies('step', byStep),
    ...broken,
    formatTotals(summary),
  ].join('\n');
}
