import test from 'ava';
import fc from 'fast-check';

import { ServiceQueue } from '../../../core/requests/ServiceQueue.js';

const BURST_REQUESTS = 4;

const entries = fc.array(
  fc.record({
    caller: fc.constantFrom('a', 'b', 'c', 'd'),
    deadlineAt: fc.nat(1_000),
    isForwardable: fc.boolean(),
  }),
  { minLength: 1, maxLength: 60 },
);

function fill(
  given: readonly { caller: string; deadlineAt: number; isForwardable: boolean }[],
): ServiceQueue {
  const queue = new ServiceQueue();
  given.forEach((entry, request) => queue.push({ ...entry, request, enqueuedAt: 0 }));
  return queue;
}

// Any requests of four callers. While several callers wait, none may be served more than a burst
// less often than another.
test('callers that wait at the same time are served equally, within a burst', (t) => {
  fc.assert(
    fc.property(entries, (given) => {
      const queue = fill(given);
      const waiting = new Map<string, number>();
      for (const { caller } of given) waiting.set(caller, (waiting.get(caller) ?? 0) + 1);
      const served = new Map<string, number>([...waiting.keys()].map((caller) => [caller, 0]));
      for (let next = queue.shift(); next !== undefined; next = queue.shift()) {
        served.set(next.caller, (served.get(next.caller) ?? 0) + 1);
        waiting.set(next.caller, (waiting.get(next.caller) ?? 0) - 1);
        const still = [...waiting].filter(([, left]) => left > 0).map(([caller]) => caller);
        const counts = still.map((caller) => served.get(caller) ?? 0);
        if (counts.length > 1 && Math.max(...counts) - Math.min(...counts) > BURST_REQUESTS + 2) {
          throw new Error(`callers served unequally: ${counts.join(', ')} requests`);
        }
      }
    }),
    { seed: 11, numRuns: 500, includeErrorInReport: true },
  );
  t.pass();
});

// Each added request comes out once, and those of one caller in the order of their deadlines.
test('no request is lost, duplicated or out of order', (t) => {
  fc.assert(
    fc.property(entries, (given) => {
      const queue = fill(given);
      queue.remove(given[0]?.caller ?? '', 0);
      const out: number[] = [];
      const last = new Map<string, number>();
      for (let next = queue.shift(); next !== undefined; next = queue.shift()) {
        out.push(next.request);
        if ((last.get(next.caller) ?? 0) > next.deadlineAt) throw new Error('out of order');
        last.set(next.caller, next.deadlineAt);
      }
      if (out.length !== given.length - 1 || new Set(out).size !== out.length || out.includes(0)) {
        throw new Error('request lost or duplicated');
      }
      if (queue.length !== 0) throw new Error('empty queue has a length');
    }),
    { seed: 12, numRuns: 300, includeErrorInReport: true },
  );
  t.pass();
});
