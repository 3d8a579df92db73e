import fc from 'fast-check';

import type { Guards } from '../../core/index.js';
import type { MatrixCase } from '../matrix/runCase.js';
import { runCase } from '../matrix/runCase.js';
import type { Violation } from '../promises/index.js';
import { caseArbitrary } from './caseArbitrary.js';

/** How many random cases to try, and from which seed. */
export interface PropertyOptions {
  readonly seed: number;
  readonly runs: number;
  /** Weaker functions in the place of guards. */
  readonly guards?: Partial<Guards>;
}

/** The simplest case found that breaks a promise, if any does. */
export interface PropertyOutcome {
  readonly runs: number;
  readonly broken?: { readonly matrixCase: MatrixCase; readonly violations: readonly Violation[] };
}

/** Simpler cases tried once one broke a promise; each costs as much as a run. */
const MOST_SHRINKS = 40;

/**
 * Tries random schedules of faults and tells the simplest that breaks a promise.
 * @param options - Seed and number of runs.
 * @example
 * const { broken } = checkPromises({ seed: 1, runs: 20 });
 */
export function checkPromises({ seed, runs, guards }: PropertyOptions): PropertyOutcome {
  let shrinks = 0;
  const property = fc.property(caseArbitrary, (matrixCase) => {
    const isKept = runCase({ ...matrixCase, guards }).violations.length === 0;
    if (!isKept) shrinks += 1;
    return isKept || shrinks > MOST_SHRINKS;
  });
  const details = fc.check(property, { seed, numRuns: runs });
  const [found] = details.counterexample ?? [];
  if (found === undefined) return { runs: details.numRuns };
  const matrixCase = { ...found, guards };
  return {
    runs: details.numRuns,
    broken: { matrixCase, violations: runCase(matrixCase).violations },
  };
}
