import fc from 'fast-check';

import { FAULT_NAMES } from '../matrix/faults.js';
import type { MatrixCase } from '../matrix/runCase.js';

const FEWEST_MACHINES = 3;
const MOST_MACHINES = 5;
const MOST_STRIKES = 5;

/** Faults may strike between these times, in milliseconds. */
const FIRST_STRIKE_MS = 600;
const LAST_STRIKE_MS = 20_000;

const strikeArbitrary = fc.record({
  fault: fc.constantFrom(...FAULT_NAMES),
  atMs: fc.integer({ min: FIRST_STRIKE_MS, max: LAST_STRIKE_MS }),
  machine: fc.nat({ max: MOST_MACHINES - 1 }),
});

/** Lives of small fleets with a few faults at any times: the fewest and earliest are simplest. */
export const caseArbitrary: fc.Arbitrary<MatrixCase> = fc.record({
  seed: fc.nat({ max: 1_000_000 }),
  machines: fc.integer({ min: FEWEST_MACHINES, max: MOST_MACHINES }),
  strikes: fc.constant([]),
  timed: fc.array(strikeArbitrary, { minLength: 1, maxLength: MOST_STRIKES }),
});
