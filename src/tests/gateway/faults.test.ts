import type { ExecutionContext } from 'ava';
import test from 'ava';

import type { BalancerEvent } from '../../balancing/index.js';
import type { ActiveRequests } from '../../gateway/ActiveRequests.js';
import type { BalancerLoop } from '../../gateway/BalancerLoop.js';
import type { TargetProber } from '../../gateway/TargetProber.js';
import { putTarget } from '../../platform/standIn/index.js';
import { makeTarget } from '../balancing/scene.js';
import { GatewayHarness } from './GatewayHarness.js';
import { formatResponse, startTarget } from './rawTarget.js';

/** Starts a target that answers each request at once; the request `odd` with an unusual status. */
async function startOtherTarget(t: ExecutionContext, name: string): Promise<string> {
  const { server, address } = await startTarget((socket) =>
    socket.on('data', (data) => {
      const id = /request-id: (\S+)/i.exec(data.toString())?.[1];
      const own =
        id === undefined
          ? [`X-Masticlink-Instance-Id: ${name}`, 'X-Masticlink-Server-Load: 0,0,64,100']
          : [`X-Masticlink-Request-Id: ${id}`, 'X-Masticlink-Response-Signature: 1.2.3'];
      const status = id === 'odd' ? '099 Odd' : '200 OK';
      socket.write(formatResponse(status, [...own, 'Content-Length: 0', '']));
    }),
  );
  t.teardown(() => server.close());
  return address;
}

async function start(t: ExecutionContext, targetAddress?: string): Promise<GatewayHarness> {
  const harness = await GatewayHarness.start({ targetAddress });
  t.teardown(() => harness.stop());
  return harness;
}

/** Registers a second target and waits until it is known. */
async function addTarget(t: ExecutionContext, harness: GatewayHarness): Promise<void> {
  const address = await startOtherTarget(t, 't-2');
  putTarget(harness.store, makeTarget('t-2', { address, slots: 64 }));
  await harness.waitUntil(() => harness.gateway.state.targets.size === 2);
}

/** Returns a part of the gateway that is otherwise internal, to inject a fault into it. */
function getPart<T>({ gateway }: GatewayHarness, name: string): T {
  return Reflect.get(gateway, name) as T;
}

/** Makes a method call `fault` instead of itself, once. */
function failOnce<M extends string>(
  owner: Record<M, (...args: never[]) => unknown>,
  method: M,
  fault: () => void,
): void {
  const original = owner[method];
  owner[method] = () => {
    owner[method] = original;
    fault();
  };
}

function fail(): never {
  throw new Error('injected');
}

/** Sends a request, and lets the target answer it if it is the one that holds requests. */
async function checkServes(t: ExecutionContext, harness: GatewayHarness, id: string) {
  const caller = await harness.connect();
  caller.sendRequests(id);
  await harness.waitUntil(() => {
    harness.release(id);
    return caller.statuses.length === 1;
  });
  t.deepEqual(caller.statuses, [200]);
}

function hasFault(harness: GatewayHarness, event: string): boolean {
  return harness.logLines.some((line) => line.event === event);
}

// Guards against a request that nobody sends, as its attempt could not be started.
test('an attempt that throws counts as unsent', async (t) => {
  const harness = await start(t);
  await addTarget(t, harness);
  failOnce(getPart<ActiveRequests>(harness, 'activeRequests'), 'startAttempt', fail);
  await checkServes(t, harness, 'r-1');
  t.true(hasFault(harness, 'effect.failed'));
});

// Guards against a target that is never probed again, and so never used.
test('a probe that throws counts as unanswered', async (t) => {
  const harness = await start(t);
  await addTarget(t, harness);
  failOnce(getPart<TargetProber>(harness, 'prober'), 'probe', fail);
  await checkServes(t, harness, 'r-1');
  t.true(hasFault(harness, 'effect.failed'));
});

// Guards against a caller who waits for an answer that cannot be written.
test('the connection closes if an answer cannot be delivered, and others are served', async (t) => {
  const address = await startOtherTarget(t, 't-1');
  const harness = await start(t, address);
  const [odd, sound] = [await harness.connect(), await harness.connect()];
  odd.sendRequests('odd');
  sound.sendRequests('r-1');
  await harness.waitUntil(() => sound.statuses.length === 1 && (odd.isEnded || odd.socket.closed));
  t.deepEqual([odd.received, sound.statuses], ['', [200]]);
  t.true(hasFault(harness, 'effect.failed'));
  const { requestIds, attemptIds, size } = getPart<ActiveRequests>(harness, 'activeRequests');
  t.deepEqual([[...requestIds], [...attemptIds], size], [[], [], 0]);
});

// Guards against a request that is held for ever, as its arrival could not be handled.
test('a request whose arrival cannot be handled is refused as not run', async (t) => {
  const harness = await start(t);
  const { state } = harness.gateway;
  failOnce(state.retryBudget, 'recordRequest', fail);
  const caller = await harness.connect();
  caller.sendRequests('r-1', 'r-2');
  await harness.waitForStarted(1);
  harness.release('r-2');
  await harness.waitUntil(() => caller.statuses.length === 2);
  t.deepEqual([caller.statuses, harness.startedIds], [[503, 200], ['r-2']]);
  t.is(state.pendingRequests.size, 0);
});

// Guards against a request that is sent again by a state that is half updated.
test('a request whose answer cannot be handled ends and is not sent again', async (t) => {
  const harness = await start(t);
  const caller = await harness.connect();
  caller.sendRequests('r-1');
  await harness.waitForStarted(1);
  failOnce(harness.gateway.state.workTimes, 'add', fail);
  harness.release('r-1');
  await harness.waitUntil(() => caller.isEnded || caller.socket.closed);
  t.is(caller.received, '');
  await checkServes(t, harness, 'r-2');
  t.deepEqual(harness.startedIds, ['r-1', 'r-2']);
});

// Guards against requests that wait for effects which were lost with another event.
test('a request whose effects an event has lost is answered, and open requests are left alone', async (t) => {
  const harness = await start(t);
  const [open, lost] = [await harness.connect(), await harness.connect()];
  open.sendRequests('r-open');
  await harness.waitForStarted(1);
  await addTarget(t, harness);
  failOnce(getPart<ActiveRequests>(harness, 'activeRequests'), 'startAttempt', () => {});
  lost.sendRequests('r-lost');
  await harness.pause(100);
  getPart<BalancerLoop>(harness, 'loop').dispatch({ kind: 'unknown' } as unknown as BalancerEvent);
  await harness.waitUntil(() => lost.statuses.length === 1);
  harness.release('r-open');
  await harness.waitUntil(() => open.statuses.length === 1);
  t.deepEqual([open.statuses, lost.statuses], [[200], [502]]);
  t.is(harness.startedIds.filter((id) => id === 'r-open').length, 1);
});
