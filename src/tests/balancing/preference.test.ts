import test from 'ava';

import { makeTarget, Scene } from './scene.js';

const SOUND = { kind: 'answered', status: 200 } as const;

function makeTargets(count: number, zone: string, first = 1) {
  return Array.from({ length: count }, (_, i) => makeTarget(`t-${first + i}`, { zone }));
}

test('requests stay in their availability zone while its targets have free slots', (t) => {
  // Five zones have enough targets under light load. If requests went to targets of any zone, a
  // third of all answers and probes would cross between zones, which costs money and takes longer.
  const own = makeTargets(20, 'quai');
  const others = makeTargets(80, 'phare', 21);
  const scene = new Scene([...own, ...others]);
  for (let i = 0; i < 100; i++) {
    scene.arrive();
    scene.answerProbes();
    scene.end(SOUND);
    scene.now += 500;
  }
  const isOwn = new Set(own.map(({ id }) => id));
  const crossing = scene.all('sendAttempt').filter(({ to }) => !isOwn.has(to.target)).length;
  t.true(crossing <= 10, `${crossing} of 100`);
});

test('requests leave their availability zone at once when its targets are full', (t) => {
  // One zone gets more callers than its targets can handle, while those of the other zones are
  // idle.
  const own = makeTargets(20, 'quai');
  const scene = new Scene([...own, ...makeTargets(80, 'phare', 21)]);
  const isOwn = new Set(own.map(({ id }) => id));
  const request = scene.arrive();
  const startedAt = scene.now;
  while (scene.all('sendAttempt').length === 0 && scene.now < startedAt + 100) {
    scene.answerProbes((id) => (isOwn.has(id) ? 2 : 0));
    if (scene.all('sendAttempt').length === 0) scene.wait(1, request);
  }
  t.false(isOwn.has(scene.lastSent.to.target));
  t.true(scene.now - startedAt <= 30, `${scene.now - startedAt} ms`);
});
