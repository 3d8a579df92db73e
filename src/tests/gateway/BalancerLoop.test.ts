import test from 'ava';

import type { BalancerEffect, BalancerEvent } from '../../balancing/index.js';
import { createBalancerState } from '../../balancing/index.js';
import { BalancerLoop } from '../../gateway/BalancerLoop.js';
import { makeSettings } from '../balancing/scene.js';

function makeArrival(request: number): BalancerEvent {
  return {
    kind: 'requestArrived',
    request,
    callerRequestId: `r-${request}`,
    fingerprint: 'f',
    host: 'door.example',
    path: '/horaires/',
    allowedMs: 1_000,
    arrivedAt: 9_000,
  };
}

// Guards against effects and events of other requests that are lost with one that throws.
test('an exception in an effect or an event leaves the others alone', (t) => {
  const context = { now: 9_000, random: () => 0 };
  const run: string[] = [];
  const failed: string[] = [];
  const odd = { kind: 'unknown' } as unknown as BalancerEvent;
  const loop: BalancerLoop = new BalancerLoop(
    createBalancerState(makeSettings('vm-1'), 0),
    context,
    (effect: BalancerEffect) => {
      const text = `${effect.kind} ${effect.kind === 'answer' ? effect.request : ''}`.trim();
      if (text === 'answer 1') {
        for (const event of [odd, makeArrival(2)]) loop.dispatch(event);
        throw new Error('injected');
      }
      run.push(text);
    },
    {
      onEffectFailed: ({ kind }) => failed.push(kind),
      onEventFailed: ({ kind }) => failed.push(kind),
    },
  );
  loop.dispatch(makeArrival(1));
  t.deepEqual(run, ['log', 'answer 2', 'log']);
  t.deepEqual(failed, ['answer', 'unknown']);
});
