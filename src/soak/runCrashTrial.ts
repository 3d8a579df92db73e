import { mkdtempSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';

import { createRandom } from '../standIns/models/index.js';
import type { CrashReplacement } from './replaceCrashedTarget.js';
import type { CallerRecord } from './SoakCallers.js';
import { SoakCallers } from './SoakCallers.js';
import { SETTLE_MS } from './faults.js';
import { createSoakService, SoakWorld } from './SoakWorld.js';

/** Time that gateways need to discover each other and their targets, in milliseconds. */
const STARTUP_MS = 2_500;

/** Time with load before the first crash, and time for open requests to end, in milliseconds. */
const WARM_UP_MS = 1_000;
const DRAIN_MS = 1_500;

const DEFAULT_TARGET_COUNT = 16;

const SERVED = 200;

/** Crashes after which a request has to be refused. */
export const MAX_CRASHES = 3;

/** Paths of the routes whose requests crash targets, by whether they are idempotent. */
const PATHS = { idempotent: '/read/x', notIdempotent: '/book/x' } as const;

/** Settings of a crash trial. */
export interface CrashTrialOptions {
  readonly gateways: number;
  readonly targets?: number;
  /** How long the caller repeats its requests, in milliseconds. */
  readonly forMs: number;
  /** Time between two copies of a request, in milliseconds. */
  readonly intervalMs: number;
  readonly kind: keyof typeof PATHS;
  /** Number of different requests that crash targets. */
  readonly fatalRequests: number;
  /** Number of targets that crash by themselves at the same moment. */
  readonly ownCrashes?: number;
  /** Whether the same path gets requests with other bodies, which crash nothing. */
  readonly hasSiblings?: boolean;
  /** When the first gateway is killed and restarted, in milliseconds after the first copy. */
  readonly killAtMs?: number;
  /** When the links of all gateways to the store are cut, in milliseconds after the first copy. */
  readonly storeCutAtMs?: number;
  /** How targets that requests have crashed are replaced; at other addresses by default. */
  readonly replacement?: CrashReplacement;
  /** Share of all requests that targets answer with 500 without running them. */
  readonly failedShare?: number;
  /** Copies that are sent at the same moment; one by default. */
  readonly copiesAtOnce?: number;
  /** Whether no gateway reaches another one. */
  readonly arePeersCut?: boolean;
}

/** Result of a crash trial. */
export interface CrashTrialResult {
  /** Targets that crashed. */
  readonly crashes: number;
  /**
   * For each request that crashes targets, the copies that reached one although they were sent later
   * than the gateways have to know of its third crash.
   */
  readonly lateCopies: readonly number[];
  /** Status of the copies that were sent later than that, and how many had it. */
  readonly lateStatuses: Readonly<Record<string, number>>;
  /** Share of the other callers' requests that were served. */
  readonly servedShare: number;
  /** Share of the requests with the same path and other bodies that were served. */
  readonly siblingsServedShare: number;
  /** Longest time until a late copy was answered, in milliseconds. */
  readonly heldMs: number;
  /** Directory with the gateways' settings and logs. */
  readonly dir: string;
}

function wait(ms: number): Promise<void> {
  return new Promise((resolve) => {
    setTimeout(resolve, ms);
  });
}

function getServedShare(records: readonly CallerRecord[]): number {
  if (records.length === 0) return 1;
  return records.filter(({ status }) => status === SERVED).length / records.length;
}

/** Records of the copies of each fatal request, by its body. */
type CopiesByBody = ReadonlyMap<string, CallerRecord[]>;

/** Returns the copies of a request that were sent later than its third crash has to be known. */
function getLateCopies(world: SoakWorld, copies: readonly CallerRecord[]): CallerRecord[] {
  const ids = new Set(copies.map(({ id }) => id));
  const crashes = world.crashes.filter(({ requestId }) => ids.has(requestId ?? ''));
  if (crashes.length < MAX_CRASHES) return [];
  const knownAt = crashes[MAX_CRASHES - 1].at + SETTLE_MS;
  return copies.filter(({ sentAt }) => sentAt > knownAt);
}

function evaluateTrial(
  world: SoakWorld,
  copiesByBody: CopiesByBody,
  siblings: readonly CallerRecord[],
  sound: readonly CallerRecord[],
): Omit<CrashTrialResult, 'dir'> {
  const runIds = new Set(world.runs.map(({ id }) => id));
  const late = [...copiesByBody.values()].map((copies) => getLateCopies(world, copies));
  const lateStatuses: Record<string, number> = {};
  for (const { status = 0 } of late.flat()) lateStatuses[status] = (lateStatuses[status] ?? 0) + 1;
  return {
    crashes: world.crashes.length,
    lateCopies: late.map((copies) => copies.filter(({ id }) => runIds.has(id)).length),
    lateStatuses,
    servedShare: getServedShare(sound),
    siblingsServedShare: getServedShare(siblings),
    heldMs: Math.max(0, ...late.flat().map(({ sentAt, endedAt = sentAt }) => endedAt - sentAt)),
  };
}

function createWorld(dir: string, options: CrashTrialOptions): SoakWorld {
  const { gateways, targets = DEFAULT_TARGET_COUNT, replacement, failedShare = 0 } = options;
  const drawFailure = createRandom(3);
  return new SoakWorld(dir, {
    gateways,
    services: [createSoakService(targets)],
    replacement,
    failsNext: () => drawFailure() < failedShare,
    hasPeerCuts: options.arePeersCut,
  });
}

/**
 * Runs gateways as separate processes on loopback while a caller repeats requests that crash the
 * targets which run them.
 * @param options - The requests, and faults during the trial.
 * @example
 * await runCrashTrial({ gateways: 6, forMs: 14_000, intervalMs: 250, kind: 'idempotent', fatalRequests: 1 });
 */
export async function runCrashTrial(options: CrashTrialOptions): Promise<CrashTrialResult> {
  const { fatalRequests, ownCrashes = 0, copiesAtOnce = 1, arePeersCut = false } = options;
  const dir = mkdtempSync(join(tmpdir(), 'masticlink-crashes-'));
  const world = createWorld(dir, options);
  await world.start();
  const ports = world.gateways.map((gateway) => gateway.options.ports);
  const callers = new SoakCallers(ports, createRandom(1));
  const random = createRandom(2);
  const bodies = Array.from({ length: fatalRequests }, (_, i) => `fatal ${i}`);
  for (const body of bodies) world.fatalBodies.add(body);
  const copies = new Map(bodies.map((body): [string, CallerRecord[]] => [body, []]));
  const siblings: CallerRecord[] = [];
  const path = PATHS[options.kind];
  const sendTo = (body: string): Promise<CallerRecord> => {
    const { callers: port } = ports[Math.floor(random() * ports.length)];
    return callers.send(port, path, options.kind === 'idempotent', body);
  };
  const sendCopies = (): Promise<unknown>[] =>
    [...copies].flatMap(([body, records]) =>
      Array.from({ length: copiesAtOnce }, async () => records.push(await sendTo(body))),
    );
  try {
    await wait(STARTUP_MS);
    callers.start();
    await wait(WARM_UP_MS);
    if (arePeersCut) for (const gateway of world.gateways) world.cutOffFromAll(gateway);
    const startedAt = Date.now();
    if (options.killAtMs !== undefined) {
      setTimeout(() => {
        const [first] = world.gateways;
        first.kill();
        first.start();
      }, options.killAtMs);
    }
    if (options.storeCutAtMs !== undefined) {
      setTimeout(() => {
        for (const link of world.storeLinks) link.setMode('silent');
      }, options.storeCutAtMs);
    }
    for (const target of world.targets.slice(0, ownCrashes)) world.crashTarget(target);
    const sent: Promise<unknown>[] = [];
    while (Date.now() < startedAt + options.forMs) {
      sent.push(...sendCopies());
      if (options.hasSiblings === true) {
        sent.push(sendTo('harmless').then((record) => siblings.push(record)));
      }
      await wait(options.intervalMs);
    }
    callers.stop();
    await Promise.all([wait(DRAIN_MS), ...sent]);
    const own = new Set([...copies.values(), siblings].flat());
    const sound = callers.records.filter(
      (record) => record.sentAt >= startedAt && record.endedAt !== undefined && !own.has(record),
    );
    return { ...evaluateTrial(world, copies, siblings, sound), dir };
  } finally {
    callers.stop();
    callers.close();
    await world.stop();
  }
}
