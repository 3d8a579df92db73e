import test from 'ava';

import type { MatrixCase } from '../../proof/matrix/runCase.js';
import { runCase } from '../../proof/matrix/runCase.js';

const LOSES_ANSWERS = 'store loses answers for long';

const CASES: readonly MatrixCase[] = [
  {
    seed: 1,
    machines: 3,
    timed: [],
    strikes: [
      { fault: LOSES_ANSWERS, step: 'store.get keys', point: 'duringPause', occurrence: 15 },
    ],
  },
  {
    seed: 1,
    machines: 4,
    timed: [],
    strikes: [
      { fault: LOSES_ANSWERS, step: 'attempt.target', point: 'duringPause', occurrence: 13 },
      { fault: 'machine dies', step: 'peer.keyEnded', point: 'afterAnswer', occurrence: 433 },
    ],
  },
];

// Members that know of a later configuration and lack its descriptions bore the older one out.
test('a zone taken out gets no work for want of descriptions of that configuration', (t) => {
  for (const each of CASES) {
    for (let seed = 1; seed <= 8; seed++) {
      const { violations, struck } = runCase({ ...each, seed });
      t.true(struck > 0 || seed > 1, 'the step is no longer reached: the case shows nothing');
      t.deepEqual(violations, [], `${each.machines} machines, seed ${seed}`);
    }
  }
});
