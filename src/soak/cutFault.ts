import type { Fault } from './faults.js';
import { SETTLE_MS } from './faults.js';
import type { LinkMode } from './FaultProxy.js';
import type { CallerRecord } from './SoakCallers.js';

const MIN_CUT_MS = 4_500;
const MAX_CUT_MS = 8_000;

const MODES: readonly LinkMode[] = ['silent', 'reset', 'oneWay', 'newReset'];

const SERVED = 200;

/** Requests at gateways that are cut off are served at least this share as often as others. */
const MIN_RELATIVE_SHARE = 2 / 3;

/** Failures that are allowed whatever their share is: a number, and a share of all requests. */
const ALLOWED_FAILURES = 10;
const ALLOWED_FAILURE_SHARE = 1 / 50;

function wait(ms: number): Promise<void> {
  return new Promise((resolve) => {
    setTimeout(resolve, ms);
  });
}

function countServed(records: readonly CallerRecord[]): number {
  return records.filter(({ status }) => status === SERVED).length;
}

/** Cuts one or two gateways off from all targets; their callers have to be served by the others. */
export const cutPaths: Fault = async ({ world, callers, random, notice }) => {
  const count = 1 + Math.floor(random() * 2);
  const first = Math.floor(random() * world.gateways.length);
  const cut = Array.from(
    { length: count },
    (_, i) => world.gateways[(first + i) % world.gateways.length],
  );
  const mode = MODES[Math.floor(random() * MODES.length)];
  const ms = MIN_CUT_MS + random() * (MAX_CUT_MS - MIN_CUT_MS);
  const from = Date.now();
  for (const gateway of cut) world.setPathMode(gateway, mode);
  for (const { entry } of world.targets) {
    world.linkFaults.push({ target: entry.id, from, until: from + ms });
  }
  const wasCalm = world.isCalm;
  await wait(ms);
  const isCalm = wasCalm && world.isCalm;
  const until = Date.now();
  for (const gateway of cut) world.setPathMode(gateway, undefined);
  if (!isCalm) return;
  await wait(SETTLE_MS);
  const ports = new Set(cut.map(({ options }) => options.ports.callers));
  const counted = callers.records.filter(
    ({ sentAt }) => sentAt >= from + SETTLE_MS && sentAt < until,
  );
  const atCut = counted.filter(({ port }) => ports.has(port));
  const elsewhere = counted.filter(({ port }) => !ports.has(port));
  const failed = atCut.length - countServed(atCut);
  if (failed <= ALLOWED_FAILURES + counted.length * ALLOWED_FAILURE_SHARE) return;
  const share = countServed(atCut) / atCut.length;
  const otherShare = elsewhere.length === 0 ? 1 : countServed(elsewhere) / elsewhere.length;
  if (share >= MIN_RELATIVE_SHARE * otherShare) return;
  notice(
    `gateways that were cut off (${mode}) served ${countServed(atCut)} of ${atCut.length} requests, ` +
      `the others ${countServed(elsewhere)} of ${elsewhere.length}`,
  );
};
