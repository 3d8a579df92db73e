import test from 'ava';

import { makeTarget, Scene } from './scene.js';

// Without the line, a VM that retries too little looks the same as one whose targets fail too often.
test('a VM logs when the store no longer lists it', (t) => {
  const scene = new Scene([makeTarget('t-1')]);
  const announce = (announced: readonly string[]): void => {
    scene.dispatch({ kind: 'vmsChanged', vms: ['vm-1', 'vm-2'], announced });
  };
  announce(['vm-1', 'vm-2']);
  announce(['vm-1', 'vm-2']);
  announce(['vm-2']);
  const lines = scene.all('log').filter(({ event }) => event === 'vms.listed');
  t.deepEqual(
    lines.map(({ fields }) => fields),
    [
      { count: 2, isListed: true },
      { count: 1, isListed: false },
    ],
  );
});
