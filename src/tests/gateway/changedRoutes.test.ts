import test from 'ava';

import type { AttemptResult, Route } from '../../balancing/index.js';
import { makeTarget, ROUTE, Scene } from '../balancing/scene.js';

const TARGETS = ['t-1', 't-2', 't-3', 't-4'].map((id) => makeTarget(id));
const REPEATABLE: Route = { ...ROUTE, maxTargets: 3 };
const ONCE: Route = { ...REPEATABLE, isIdempotent: false };

function publish(scene: Scene, routes: readonly Route[]): void {
  const { table } = scene.state;
  if (table === undefined) throw new Error('no configuration');
  scene.dispatch({ kind: 'tableRead', table: { ...table, version: table.version + 1, routes } });
}

const CERTAINLY_NOT_RUN: readonly AttemptResult[] = [
  { kind: 'rejected', reading: undefined, limit: undefined, isDraining: false, unreadHeaders: [] },
  { kind: 'misdirected' },
  { kind: 'unsent' },
] as unknown as readonly AttemptResult[];

// Guards against a second run: the first attempt may have run, whatever is certain of the second.
for (const end of CERTAINLY_NOT_RUN) {
  test(`a request that may have run is not sent again once its route is not idempotent: ${end.kind}`, (t) => {
    const scene = new Scene(TARGETS, [REPEATABLE]);
    scene.arrive();
    scene.answerProbes();
    scene.end({ kind: 'broken' });
    scene.answerProbes();
    t.is(scene.all('sendAttempt').length, 2);
    publish(scene, [ONCE]);
    scene.end(end);
    scene.answerProbes();
    t.is(scene.all('sendAttempt').length, 2);
  });
}

// Guards against a second run: the hedge was decided on before the configuration changed.
test('a hedge whose probes are open is not sent once its route is not idempotent', (t) => {
  const scene = new Scene(TARGETS, [REPEATABLE]);
  const request = scene.arrive();
  scene.answerProbes();
  scene.wait(600, request);
  t.is(scene.all('sendAttempt').length, 1);
  publish(scene, [ONCE]);
  scene.answerProbes();
  t.is(scene.all('sendAttempt').length, 1);
});

// Guards against a second run by a route that is still there but no longer the request's.
test('a request is not sent again once a longer prefix makes it not idempotent', (t) => {
  const scene = new Scene(TARGETS, [REPEATABLE]);
  scene.arrive();
  scene.answerProbes();
  publish(scene, [REPEATABLE, { ...ONCE, name: 'narrow', pathPrefix: '/horaires/today' }]);
  scene.end({ kind: 'broken' });
  scene.answerProbes();
  t.is(scene.all('sendAttempt').length, 1);
});
