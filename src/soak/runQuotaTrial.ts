import { mkdtempSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';

import type { QuotaWindow } from '../lab/index.js';
import { findWorstQuotaWindows } from '../lab/index.js';
import { createRandom } from '../standIns/models/index.js';
import { QUOTA_BOUND } from './checkOrganisations.js';
import type { CallerRecord } from './SoakCallers.js';
import { SoakCallers } from './SoakCallers.js';
import { BUSY, SOAK_ORGANISATIONS, SoakOrganisations } from './SoakOrganisations.js';
import { SoakWorld } from './SoakWorld.js';

/** Time that gateways need to discover each other and their targets, in milliseconds. */
const STARTUP_MS = 3_500;

/** Time with load before the cut, and for open requests to end, in milliseconds. */
const WARM_UP_MS = 6_000;
const DRAIN_MS = 3_200;

const SERVED = 200;

/** Settings of a quota trial. */
export interface QuotaTrialOptions {
  readonly gateways: number;
  /** Which gateways are cut off from the others, by index. */
  readonly cut: readonly number[];
  readonly forMs: number;
  /** Requests per second of the organisation to all gateways together; its limit is 6. */
  readonly perSecond: number;
}

/** Result of a quota trial. */
export interface QuotaTrialResult {
  /** Window with most runs of the organisation, at all gateways together. */
  readonly worst: QuotaWindow;
  /** Served requests per second during the cut, at the gateways that were cut off and the others. */
  readonly servedAtCut: number;
  readonly servedElsewhere: number;
  /** Requests by status during the cut, 0 for those without an answer. */
  readonly statuses: Readonly<Record<string, number>>;
  /** Directory with the gateways' settings and logs. */
  readonly dir: string;
}

function wait(ms: number): Promise<void> {
  return new Promise((resolve) => {
    setTimeout(resolve, ms);
  });
}

function findWorst({ runs }: SoakWorld, records: readonly CallerRecord[]): QuotaWindow {
  const ranAt = new Map(runs.map(({ id, at }) => [id, at]));
  const organisation = SOAK_ORGANISATIONS.find(({ name }) => name === BUSY);
  if (organisation?.quota === undefined) throw new RangeError(`${BUSY} has no limit`);
  const { quota } = organisation;
  const tries = records.map(({ id, sentAt }) => ({
    organisation: BUSY,
    startedAt: sentAt,
    ranAt: ranAt.get(id),
    isOverQuota: false,
  }));
  return findWorstQuotaWindows([{ name: BUSY, quota }], tries, QUOTA_BOUND)[0];
}

/**
 * Runs gateways as separate processes on loopback and cuts some of them off from the others while an
 * organisation sends many times its limit to all of them.
 * @param options - Number of gateways, cut and load.
 * @example
 * await runQuotaTrial({ gateways: 6, cut: [0, 1], forMs: 10_000, perSecond: 60 });
 */
export async function runQuotaTrial(options: QuotaTrialOptions): Promise<QuotaTrialResult> {
  const dir = mkdtempSync(join(tmpdir(), 'masticlink-quota-'));
  const organisations = new SoakOrganisations(createRandom(1));
  const { gateways, cut, forMs, perSecond } = options;
  const world = new SoakWorld(dir, { gateways, organisations, hasPeerCuts: true });
  await world.start();
  const ports = world.gateways.map((gateway) => gateway.options.ports);
  const callers = new SoakCallers(ports, createRandom(2), { organisations });
  const identity = { apiKey: `key-of-${BUSY}`, claims: [], isExempt: false, mayBeRefused: true };
  const send = (): void => {
    const { callers: port } = ports[callers.records.length % ports.length];
    callers.send(port, '/read/x', true, undefined, { identity });
  };
  let timer: NodeJS.Timeout | undefined;
  try {
    await wait(STARTUP_MS);
    timer = setInterval(send, 1_000 / perSecond);
    await wait(WARM_UP_MS);
    const cutAt = Date.now();
    world.cutOffPeers(cut.map((index) => world.gateways[index]));
    await wait(forMs);
    world.cutOffPeers([]);
    const cutUntil = Date.now();
    await wait(WARM_UP_MS);
    clearInterval(timer);
    await wait(DRAIN_MS);
    const during = callers.records.filter(({ sentAt }) => sentAt >= cutAt && sentAt < cutUntil);
    const cutPorts = new Set(cut.map((index) => ports[index].callers));
    const served = during.filter(({ status }) => status === SERVED);
    const atCut = served.filter(({ port }) => cutPorts.has(port)).length;
    const statuses: Record<string, number> = {};
    for (const { status = 0 } of during) statuses[status] = (statuses[status] ?? 0) + 1;
    return {
      worst: findWorst(world, callers.records),
      servedAtCut: (atCut * 1_000) / forMs,
      servedElsewhere: ((served.length - atCut) * 1_000) / forMs,
      statuses,
      dir,
    };
  } finally {
    clearInterval(timer);
    callers.close();
    await world.stop();
  }
}
