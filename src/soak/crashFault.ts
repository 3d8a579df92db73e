import type { Fault } from './faults.js';
import { SETTLE_MS } from './faults.js';
import { MAX_CRASHES } from './runCrashTrial.js';
import type { CallerRecord } from './SoakCallers.js';

/** How long the caller repeats its request, and time between two copies, in milliseconds. */
const MIN_REPEATING_MS = 6_000;
const MAX_REPEATING_MS = 9_000;
const MIN_INTERVAL_MS = 150;
const MAX_INTERVAL_MS = 500;

function wait(ms: number): Promise<void> {
  return new Promise((resolve) => {
    setTimeout(resolve, ms);
  });
}

/** Repeats a request that crashes its targets at random gateways, which have to refuse it in time. */
export const repeatFatalRequest: Fault = async ({ world, callers, random, notice }) => {
  const body = `fatal ${Math.floor(random() * 2 ** 32)}`;
  const isIdempotent = random() < 0.5;
  const path = isIdempotent ? '/read/x' : '/book/x';
  const intervalMs = MIN_INTERVAL_MS + random() * (MAX_INTERVAL_MS - MIN_INTERVAL_MS);
  const endsAt = Date.now() + MIN_REPEATING_MS + random() * (MAX_REPEATING_MS - MIN_REPEATING_MS);
  world.fatalBodies.add(body);
  const sent: Promise<CallerRecord>[] = [];
  // Copies at gateways that a fault has disturbed do not count.
  const counted: Promise<CallerRecord>[] = [];
  while (Date.now() < endsAt) {
    const gateway = world.gateways[Math.floor(random() * world.gateways.length)];
    const isCounted = gateway.isRunning && Date.now() > gateway.disturbedUntil;
    const copy = callers.send(gateway.options.ports.callers, path, isIdempotent, body);
    sent.push(copy);
    if (isCounted) counted.push(copy);
    await wait(intervalMs);
  }
  const copies = await Promise.all(sent);
  const ids = new Set(copies.map(({ id }) => id));
  const crashes = world.crashes.filter(({ requestId }) => ids.has(requestId ?? ''));
  if (crashes.length < MAX_CRASHES) return;
  const knownAt = crashes[MAX_CRASHES - 1].at + SETTLE_MS;
  const runIds = new Set(world.runs.map(({ id }) => id));
  const late = (await Promise.all(counted)).filter(
    ({ id, sentAt }) => sentAt > knownAt && runIds.has(id),
  );
  if (late.length <= MAX_CRASHES) return;
  notice(`${late.length} copies of a request that had crashed three targets were sent to targets`);
};
