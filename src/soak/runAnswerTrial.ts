import { mkdtempSync, writeFileSync } from 'node:fs';
import { request } from 'node:http';
import { tmpdir } from 'node:os';
import { join } from 'node:path';

import { putTarget, SIGNATURE_HEADER, writeCallerHeaders } from '../platform/standIn/index.js';
import { createRandom } from '../standIns/models/index.js';
import type { AnswerShares } from './AnswerTarget.js';
import { AnswerTarget, makeAnswerBody } from './AnswerTarget.js';
import type { FleetTraffic } from './fleetTraffic.js';
import type { GatewayFault } from './retryFaults.js';
import { GATEWAY_FAULTS } from './retryFaults.js';
import type { RetryTraffic } from './retryFleets.js';
import { SoakWorld, ZONES } from './SoakWorld.js';

/** Time that gateways need to discover each other and their targets, in milliseconds. */
const STARTUP_MS = 6_000;

/** Settings of an answer trial. */
export interface AnswerTrialOptions extends FleetTraffic {
  /** Every other target sends copies, and the others send answers without a length and resets. */
  readonly shares: AnswerShares;
  /** What happens to the gateways meanwhile. */
  readonly fault?: GatewayFault;
  /** Time with load, in milliseconds. */
  readonly forMs: number;
  /** Seed of the random numbers of callers and targets. */
  readonly seed: number;
  /** Programs that the gateways run, in turn; that of this build by default. */
  readonly gatewayMains?: readonly string[];
}

/** What a caller got. */
type Outcome =
  | 'whole'
  /** A success that looks complete, but is not the body and signature of its own request. */
  | 'incomplete'
  /** The connection closed before the answer looked complete. */
  | 'brokenOff'
  | 'otherStatus';

/** Number of requests by outcome, and where they are recorded. */
export interface AnswerTrialResult extends Readonly<Record<Outcome, number>> {
  /** Answers that targets broke off. */
  readonly resets: number;
  /** Requests that may not run twice, and ran more than once. */
  readonly twice: number;
  /** Directory with the gateways' settings and logs, and `observations.json`. */
  readonly dir: string;
}

interface AnswerRecord {
  readonly id: string;
  readonly port: number;
  readonly outcome: Outcome;
  readonly runs: number;
  readonly isIdempotent: boolean;
}

function wait(ms: number): Promise<void> {
  return new Promise((resolve) => {
    setTimeout(resolve, ms);
  });
}

/** Sends a request on a connection of its own and compares the answer with the expected body. */
function sendRequest(
  [id, port, path, method]: readonly [string, number, string, string],
  timeoutMs: number,
  expected: string,
): Promise<Outcome> {
  return new Promise((resolve) => {
    const headers = { Host: 'soak.example', ...writeCallerHeaders(id, timeoutMs) };
    const options = { host: '127.0.0.1', port, path, method, headers, agent: false };
    const req = request(options, (res) => {
      const chunks: Buffer[] = [];
      res.on('data', (chunk: Buffer) => chunks.push(chunk));
      res.on('error', () => resolve('brokenOff'));
      res.on('end', () => {
        const isSigned = res.headers[SIGNATURE_HEADER] === `s.${id}`;
        const isWhole = isSigned && Buffer.concat(chunks).toString() === expected;
        if (res.statusCode === 200) resolve(isWhole ? 'whole' : 'incomplete');
        else resolve('otherStatus');
      });
    });
    req.setTimeout(timeoutMs, () => req.destroy());
    req.on('error', () => resolve('brokenOff'));
    req.end();
  });
}

async function addTargets(
  { store }: SoakWorld,
  { fleet, shares, seed }: AnswerTrialOptions,
  runs: string[],
): Promise<AnswerTarget[]> {
  const targets: AnswerTarget[] = [];
  for (const { name: service, targets: count, slots, workMs } of fleet.services) {
    for (let i = 0; i < count; i++) {
      const bornAt = targets.length + 1;
      const id = `t-${bornAt}`;
      const random = createRandom(seed * 1_000 + bornAt);
      // A copy that comes within an answer, or before the close that ends one, cannot be recognised.
      const isCopying = i % 2 === 0;
      const own = isCopying ? { ...shares, unframed: 0, reset: 0 } : { ...shares, copied: 0 };
      const onRun = (requestId: string): number => runs.push(requestId);
      const target = new AnswerTarget({ id, slots, workMs, shares: own, random, onRun });
      const address = await target.start();
      const place = { id, service, address, zone: ZONES[i % ZONES.length], version: 'v1' };
      putTarget(store, { ...place, bornAt, slots, isDraining: false, coldMs: 0 });
      targets.push(target);
    }
  }
  return targets;
}

/** Sends requests of all kinds for a while, and waits until they have ended. */
async function playTraffic(
  { gateways }: SoakWorld,
  { fleet, shares, seed, forMs, requestsPerSecond }: AnswerTrialOptions,
  runs: readonly string[],
): Promise<AnswerRecord[]> {
  const random = createRandom(seed);
  const total = fleet.traffic.reduce((sum, { weight }) => sum + weight, 0);
  const drawKind = (): RetryTraffic => {
    let rest = random() * total;
    const isDrawn = ({ weight }: RetryTraffic): boolean => {
      rest -= weight;
      return rest < 0;
    };
    return fleet.traffic.find(isDrawn) ?? fleet.traffic[0];
  };
  const sent: Promise<AnswerRecord>[] = [];
  const send = async (index: number): Promise<AnswerRecord> => {
    const { route, timeoutMs } = drawKind();
    const { name, isIdempotent } = route;
    const running = gateways.filter(({ isRunning }) => isRunning);
    const { callers: port } = running[Math.floor(random() * running.length)].options.ports;
    const id = `${seed}.${index}`;
    const expected = makeAnswerBody(id, shares.large);
    const method = isIdempotent ? 'GET' : 'POST';
    const outcome = await sendRequest([id, port, `/${name}/x`, method], timeoutMs, expected);
    return { id, port, outcome, runs: runs.filter((each) => each === id).length, isIdempotent };
  };
  const timer = setInterval(() => sent.push(send(sent.length)), 1_000 / requestsPerSecond);
  await wait(forMs);
  clearInterval(timer);
  return Promise.all(sent);
}

/**
 * Runs gateways as separate processes on loopback while targets send answers of all framings and
 * sizes and reset some of them, and counts answers that look complete to their callers but are not.
 * @param options - Fleet, load and shares.
 * @example
 * const { incomplete } = await runAnswerTrial({ fleet: FLEET_OF_15, requestsPerSecond: 33, shares: { large: 0.3, unframed: 0.5, reset: 0.05, copied: 0.03, rejected: 0.2 }, forMs: 30_000, seed: 1 });
 */
export async function runAnswerTrial(options: AnswerTrialOptions): Promise<AnswerTrialResult> {
  const { fleet, fault, seed, gatewayMains } = options;
  const dir = mkdtempSync(join(tmpdir(), 'masticlink-answers-'));
  const world = new SoakWorld(dir, {
    gateways: fleet.gateways,
    services: fleet.services.map((service) => ({ ...service, targets: 0 })),
    routes: fleet.traffic.map(({ route }) => route),
    maxTargets: 3,
    retryLimit: fleet.limit,
    seed,
    gatewayMains,
  });
  await world.start();
  const runs: string[] = [];
  const targets = await addTargets(world, options, runs);
  try {
    await wait(STARTUP_MS);
    const disturbed = fault === undefined ? undefined : GATEWAY_FAULTS[fault](world);
    const [records] = await Promise.all([playTraffic(world, options, runs), disturbed]);
    writeFileSync(join(dir, 'observations.json'), JSON.stringify(records));
    const count = (outcome: Outcome): number =>
      records.filter((record) => record.outcome === outcome).length;
    return {
      whole: count('whole'),
      incomplete: count('incomplete'),
      brokenOff: count('brokenOff'),
      otherStatus: count('otherStatus'),
      resets: targets.reduce((sum, { resets }) => sum + resets, 0),
      twice: records.filter((record) => !record.isIdempotent && record.runs > 1).length,
      dir,
    };
  } finally {
    for (const target of targets) target.stop();
    await world.stop();
  }
}
