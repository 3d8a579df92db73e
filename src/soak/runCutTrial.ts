import { mkdtempSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';

import { createRandom } from '../standIns/models/index.js';
import type { LinkMode } from './FaultProxy.js';
import { SETTLE_MS } from './faults.js';
import type { CallerRecord } from './SoakCallers.js';
import { SoakCallers } from './SoakCallers.js';
import type { SoakGateway } from './SoakGateway.js';
import { createSoakService, SoakWorld } from './SoakWorld.js';

/** Time that gateways need to discover each other and their targets, in milliseconds. */
const STARTUP_MS = 2_500;

/** Time with load before the cut, after its end, and for open requests to end, in milliseconds. */
const WARM_UP_MS = 1_000;
const AFTERMATH_MS = 4_500;
const DRAIN_MS = 3_200;

/** Requests that each gateway gets, per second. */
const REQUESTS_PER_SECOND = 25;

const TARGET_COUNT = 8;

/** When a gateway is killed, in milliseconds after the cut began. */
const KILL_AFTER_MS = 1_000;

/** Share of requests that are idempotent. */
const IDEMPOTENT_SHARE = 0.6;

const SERVED = 200;
const REFUSED = 503;

/** Settings of a cut trial. */
export interface CutTrialOptions {
  readonly gateways: number;
  /** Which gateways lose their paths to all targets, by index. */
  readonly cut: readonly number[];
  readonly mode: LinkMode;
  readonly forMs: number;
  /** Other gateways that are cut instead from half of the time on. */
  readonly thenCut?: readonly number[];
  /** If set, the paths are cut and restored in turn at this interval, in milliseconds. */
  readonly flapMs?: number;
  /** Whether the links to the store are cut meanwhile. */
  readonly isStoreAway?: boolean;
  /** Gateway that is killed and restarted one second after the cut began, by index. */
  readonly kill?: number;
}

/** What callers got in a span of time at some gateways. */
export interface CutOutcome {
  readonly requests: number;
  readonly servedShare: number;
  /** Requests by status. */
  readonly statuses: Readonly<Record<string, number>>;
  /** Median time until an answer, in milliseconds. */
  readonly medianMs: number;
}

/** Result of a cut trial. */
export interface CutTrialResult {
  /** Requests sent later than `SETTLE_MS` after the cut began, at the gateways that were cut. */
  readonly cutOff: CutOutcome;
  /** The same at the others. */
  readonly others: CutOutcome;
  /** Requests sent up to `SETTLE_MS` after the cut began, at the gateways that were cut. */
  readonly atStart: CutOutcome;
  /** Requests sent within three seconds after the first second since the cut, at those gateways. */
  readonly afterwards: CutOutcome;
  /** Requests that ran although they must not, or more often than allowed. */
  readonly broken: readonly string[];
  /** Directory with the gateways' settings and logs. */
  readonly dir: string;
}

function wait(ms: number): Promise<void> {
  return new Promise((resolve) => {
    setTimeout(resolve, ms);
  });
}

function summarise(records: readonly CallerRecord[]): CutOutcome {
  const statuses: Record<string, number> = {};
  for (const { status = 0 } of records) statuses[status] = (statuses[status] ?? 0) + 1;
  const times = records
    .map(({ sentAt, endedAt = sentAt }) => endedAt - sentAt)
    .sort((a, b) => a - b);
  return {
    requests: records.length,
    servedShare: records.length === 0 ? 1 : (statuses[SERVED] ?? 0) / records.length,
    statuses,
    medianMs: times[Math.floor(times.length / 2)] ?? 0,
  };
}

function findBroken(world: SoakWorld, records: readonly CallerRecord[]): string[] {
  const runs = new Map<string, number>();
  for (const { id } of world.runs) runs.set(id, (runs.get(id) ?? 0) + 1);
  return records.flatMap(({ id, isIdempotent, status, isSound }) => {
    const count = runs.get(id) ?? 0;
    if (!isIdempotent && count > 1) return [`${id} must not run twice but ran ${count} times`];
    if (count > 2) return [`${id} may run at two targets but ran ${count} times`];
    if (status === REFUSED && count > 0) return [`${id} was refused but ran`];
    if (status === SERVED && !isSound) return [`${id} got a wrong answer`];
    return [];
  });
}

/** Cuts the paths of some gateways, restores them, and returns these gateways. */
async function cutPaths(world: SoakWorld, options: CutTrialOptions): Promise<SoakGateway[]> {
  const { cut, thenCut, mode, forMs, flapMs, isStoreAway = false, kill } = options;
  const pick = (indexes: readonly number[]): SoakGateway[] => indexes.map((i) => world.gateways[i]);
  const setMode = (gateways: readonly SoakGateway[], next: LinkMode | undefined): void => {
    for (const gateway of gateways) world.setPathMode(gateway, next);
  };
  const first = pick(cut);
  const second = pick(thenCut ?? cut);
  setMode(first, mode);
  if (isStoreAway) for (const link of world.storeLinks) link.setMode('silent');
  if (kill !== undefined) {
    setTimeout(() => {
      world.gateways[kill].kill();
      world.gateways[kill].start();
    }, KILL_AFTER_MS);
  }
  let isCut = true;
  const flap = (): void => {
    isCut = !isCut;
    setMode(first, isCut ? mode : undefined);
  };
  const flapping = flapMs === undefined ? undefined : setInterval(flap, flapMs);
  await wait(forMs / 2);
  if (thenCut !== undefined) {
    setMode(first, undefined);
    setMode(second, mode);
  }
  await wait(forMs / 2);
  clearInterval(flapping);
  setMode([...first, ...second], undefined);
  return [...first, ...second];
}

/**
 * Runs gateways as separate processes on loopback while some of them reach no target.
 * @param options - The cut, and other faults meanwhile.
 * @example
 * await runCutTrial({ gateways: 6, cut: [0, 1], mode: 'silent', forMs: 8_000 });
 */
export async function runCutTrial(options: CutTrialOptions): Promise<CutTrialResult> {
  const dir = mkdtempSync(join(tmpdir(), 'masticlink-cut-'));
  const world = new SoakWorld(dir, {
    gateways: options.gateways,
    services: [createSoakService(TARGET_COUNT)],
  });
  await world.start();
  const ports = world.gateways.map((gateway) => gateway.options.ports);
  const callers = new SoakCallers(ports, createRandom(1));
  const random = createRandom(2);
  const send = (): void =>
    ports.forEach(({ callers: port }) => {
      const isIdempotent = random() < IDEMPOTENT_SHARE;
      callers.send(port, isIdempotent ? '/read/x' : '/book/x', isIdempotent);
    });
  let timer: NodeJS.Timeout | undefined;
  try {
    await wait(STARTUP_MS);
    timer = setInterval(send, 1_000 / REQUESTS_PER_SECOND);
    await wait(WARM_UP_MS);
    const cutAt = Date.now();
    const cutGateways = await cutPaths(world, options);
    const endedAt = Date.now();
    await wait(AFTERMATH_MS);
    clearInterval(timer);
    await wait(DRAIN_MS);
    const cutPorts = new Set(cutGateways.map((each) => each.options.ports.callers));
    const between = (from: number, until: number, isAtCut: boolean): CutOutcome =>
      summarise(
        callers.records.filter(
          ({ sentAt, port }) => sentAt >= from && sentAt < until && cutPorts.has(port) === isAtCut,
        ),
      );
    return {
      cutOff: between(cutAt + SETTLE_MS, endedAt, true),
      others: between(cutAt + SETTLE_MS, endedAt, false),
      atStart: between(cutAt, cutAt + SETTLE_MS, true),
      afterwards: between(endedAt + 1_000, endedAt + 4_000, true),
      broken: findBroken(world, callers.records),
      dir,
    };
  } finally {
    clearInterval(timer);
    callers.close();
    await world.stop();
  }
}
