import test from 'ava';

import { makeTarget, Scene } from './scene.js';

test('a VM that learns of hundreds of targets at once writes one line', (t) => {
  // After a power loss each VM would write a line for each target before it serves its first
  // caller, and the limit on log lines would drop half of them.
  const targets = Array.from({ length: 300 }, (_, i) => makeTarget(`t-${i}`));
  const scene = new Scene(targets);
  scene.dispatch({ kind: 'targetsRead', targets: targets.slice(2) });
  const lines = scene.all('log').filter(({ event }) => event.startsWith('target.'));
  t.deepEqual(
    lines.map(({ event, fields }) => [event, fields.count]),
    [
      ['target.added', 300],
      ['target.removed', 2],
    ],
  );
  t.snapshot(lines[1].fields.targets);
});
