import test from 'ava';

import type { BalancerEvent, Organisation, Route, RoutingTable } from '../../balancing/index.js';
import { createBalancerState, reduceBalancer } from '../../balancing/index.js';
import { isKeyUnknown } from '../../balancing/keyChecks.js';
import { makeSettings, makeTarget, ROUTE, Scene, TABLE } from './scene.js';

const KEY = 'digest-1';
const OTHER_KEY = 'digest-2';
const ORGANISATION: Organisation = { name: 'acme', keyDigests: [KEY, OTHER_KEY], priority: 1 };
const OTHER: Organisation = { name: 'other', keyDigests: ['digest-3'] };
const EXEMPT_ROUTE: Route = { ...ROUTE, pathPrefix: '/open/', isAuthExempt: true };
const SLOTS = 2;

function makeTable(version: number, organisations?: readonly Organisation[]): RoutingTable {
  return { ...TABLE, version, routes: [ROUTE, EXEMPT_ROUTE], organisations };
}

function makeArrival(request: number, now: number, keyDigest?: string, path = '/horaires/x') {
  return {
    kind: 'requestArrived',
    request,
    callerRequestId: `r-${request}`,
    fingerprint: `f-${request}`,
    host: 'door.example',
    path,
    allowedMs: 4_000,
    arrivedAt: now,
    keyDigest,
  } as const satisfies BalancerEvent;
}

/** An entry VM with one target, whose configuration has two organisations. */
function makeScene(): Scene {
  const scene = new Scene([makeTarget('t-1')]);
  scene.dispatch({ kind: 'tableRead', table: makeTable(2, [ORGANISATION, OTHER]) });
  return scene;
}

function getStatuses(scene: Scene): (string | number)[] {
  return scene.all('answer').flatMap(({ status, reason }) => [status, reason]);
}

/** Lets a request wait, since its target is full. */
function arriveAndWait(scene: Scene, request: number, digest?: string, path?: string): void {
  scene.now += 50;
  scene.dispatch(makeArrival(request, scene.now, digest, path));
  scene.answerProbes(() => SLOTS);
}

// A caller without a key would use the operator's targets at the cost of its customers.
test('a request needs a known key unless its route is exempt', (t) => {
  const scene = makeScene();
  scene.dispatch(makeArrival(1, scene.now));
  scene.dispatch(makeArrival(2, scene.now, 'unknown'));
  t.deepEqual(getStatuses(scene), [401, 'unknownKey', 401, 'unknownKey']);
  scene.dispatch(makeArrival(3, scene.now, 'unknown', '/elsewhere'));
  t.deepEqual(getStatuses(scene).slice(4), [404, 'noRoute']);
  scene.dispatch(makeArrival(4, scene.now, KEY));
  scene.dispatch(makeArrival(5, scene.now, 'unknown', '/open/x'));
  scene.dispatch(makeArrival(6, scene.now, OTHER_KEY, '/open/x'));
  const pending = [...scene.state.pendingRequests.values()];
  t.deepEqual(
    pending.map(({ id, organisation, priority }) => [id, organisation, priority]),
    [
      [4, 'acme', 1],
      [5, undefined, ROUTE.priority],
      [6, 'acme', 1],
    ],
  );
});

// A target would run a request of a customer whose key the operator has just taken away.
test('a waiting request whose key is removed is refused before it is sent', (t) => {
  const scene = makeScene();
  arriveAndWait(scene, 1, KEY);
  arriveAndWait(scene, 2, OTHER_KEY);
  arriveAndWait(scene, 3, KEY, '/open/x');
  const reduced = { ...ORGANISATION, keyDigests: [OTHER_KEY] };
  const effects = scene.dispatch({ kind: 'tableRead', table: makeTable(3, [reduced, OTHER]) });
  t.deepEqual(getStatuses(scene), [401, 'unknownKey']);
  t.deepEqual([...scene.state.pendingRequests.keys()], [2, 3]);
  const lines = effects.flatMap((effect) => (effect.kind === 'log' ? [effect] : []));
  t.like(lines.at(-1), { event: 'request.refused', fields: { id: 'r-1', organisation: 'acme' } });
  scene.dispatch({ kind: 'tableRead', table: makeTable(4, [OTHER]) });
  t.deepEqual([...scene.state.pendingRequests.keys()], [3]);
});

// 401 states that the request has not run; a caller that believes it would send it again.
test('a request that was sent is answered although its key is removed', (t) => {
  const scene = makeScene();
  scene.dispatch(makeArrival(1, scene.now, KEY));
  scene.answerProbes();
  t.is(scene.lastSent.organisation, 'acme');
  scene.dispatch({ kind: 'tableRead', table: makeTable(3, [OTHER]) });
  t.deepEqual(scene.all('answer'), []);
  scene.end({ kind: 'answered', status: 200 });
  t.is(scene.all('deliver').length, 1);
});

// Callers without keys would lose their requests when the operator no longer asks for keys.
test('no waiting request is refused when all organisations are removed', (t) => {
  const scene = makeScene();
  arriveAndWait(scene, 1, KEY);
  scene.dispatch({ kind: 'tableRead', table: makeTable(3) });
  t.deepEqual(scene.all('answer'), []);
});

// After a power loss all callers would be told that their keys are wrong, and give up.
test('nothing is refused for its key while no configuration is known or the request is held', (t) => {
  const state = createBalancerState(makeSettings('vm-1'), 0);
  const head = { host: 'door.example', path: '/horaires/x', keyDigest: 'unknown' };
  const context = { now: 10, random: () => 0.5 };
  t.false(isKeyUnknown(state, head, 10));
  const effects = reduceBalancer(state, makeArrival(1, 10, 'unknown'), context);
  t.false(effects.some(({ kind }) => kind === 'answer'));
  const table = makeTable(2, [ORGANISATION]);
  t.false(
    reduceBalancer(state, { kind: 'tableRead', table }, context).some((e) => e.kind === 'answer'),
  );
  // Held for lack of targets; the key is checked when it is released.
  t.false(isKeyUnknown(state, head, 10));
  const targets = [makeTarget('t-1')];
  const released = reduceBalancer(state, { kind: 'targetsRead', targets }, context);
  t.like(
    released.find(({ kind }) => kind === 'answer'),
    { status: 401, reason: 'unknownKey' },
  );
  t.true(isKeyUnknown(state, head, 10));
  t.false(isKeyUnknown(state, { ...head, path: '/elsewhere' }, 10));
  const late = createBalancerState(makeSettings('vm-1'), 0);
  const refused = reduceBalancer(late, makeArrival(1, 9_000, 'unknown'), {
    ...context,
    now: 9_000,
  });
  t.like(
    refused.find(({ kind }) => kind === 'answer'),
    { status: 503, reason: 'notConfigured' },
  );
});
