import test from 'ava';

import type { NamedLimit } from '../../balancing/index.js';
import { makeReading, makeTarget, Scene } from './scene.js';

/** Serves one request whose answer names a limit. */
function serve(scene: Scene, limit: NamedLimit): void {
  scene.now += 1_000;
  scene.arrive();
  scene.answerProbes();
  scene.now += 100;
  scene.end({ kind: 'answered', status: 200, reading: makeReading(scene.now, 0), limit });
}

test('the log tells which limits a target names, and by which one a request is sent', (t) => {
  const scene = new Scene([makeTarget('t-1')]);
  for (const limit of [6, 6, 1.3, 'unreadable', undefined] as const) serve(scene, limit);
  const lines = scene.all('log').map(({ event, fields }) => ({ event, fields }));
  t.snapshot(lines.filter(({ event }) => /^target\.(un)?limit/.test(event)));
  const sent = lines.filter(({ event }) => event === 'request.sent');
  t.deepEqual(
    sent.map(({ fields }) => fields.limitPerSecond),
    [undefined, 6, 6, 1.3, 1.3],
  );
});
