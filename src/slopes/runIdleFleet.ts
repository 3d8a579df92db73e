import type { Effect, ServiceConfig } from '../core/index.js';
import { VirtualFleet } from '../proof/VirtualFleet.js';
import { makeMachines } from '../proof/deployments.js';
import { getMessageBytes } from './meters.js';
import { makeSizedConfiguration } from './sizedFleet.js';

/** What a fleet without callers spends on its own, a second. */
export interface IdleSpending {
  readonly storeWritesPerSecond: number;
  readonly storeReadsPerSecond: number;
  /** Of one member. */
  readonly messagesPerSecond: number;
  /** Of one member, sent, without the frames around messages. */
  readonly bytesPerSecond: number;
  readonly probesPerSecond: number;
}

/** What an idle fleet is made of. */
export interface IdleFleetOptions {
  readonly members: number;
  readonly services: number;
  readonly targetsPerService: number;
  readonly zones: number;
}

const SETTLE_MS = 10_000;
const MEASURED_MS = 20_000;
const SECOND_MS = 1_000;

/** What is counted while the fleet runs. */
interface Counts {
  messages: number;
  bytes: number;
  probes: number;
  writes: number;
  reads: number;
}

type Count = (counts: Counts, effect: Effect) => void;

/** How each kind of effect counts; the others cost nothing outside the process. */
const COUNTING: Readonly<Partial<Record<Effect['kind'], Count>>> = {
  sendPeer: (counts, effect) => {
    if (effect.kind !== 'sendPeer') return;
    counts.messages += 1;
    counts.bytes += getMessageBytes(effect.message);
  },
  probe: (counts) => {
    counts.probes += 1;
  },
  callStore: (counts, effect) => {
    if (effect.kind !== 'callStore') return;
    const isWrite = effect.op.op === 'put' || effect.op.op === 'delete';
    if (isWrite) counts.writes += 1;
    else counts.reads += 1;
  },
};

/**
 * Builds a virtual fleet that nobody calls.
 * @param options - Its size.
 * @param onEffect - Hears each effect.
 */
export function createIdleFleet(
  options: IdleFleetOptions,
  onEffect: (effect: Effect) => void,
): VirtualFleet {
  const { root, services } = makeSizedConfiguration(options, 1);
  const configs: ServiceConfig[] = services.map(({ service }) => service);
  return new VirtualFleet({
    seed: 1,
    machines: makeMachines(options.members, root.zones),
    zones: root.zones,
    services: configs,
    network: { hopMs: 1, zoneHopMs: 0.2, clientHopMs: 1, jitterShare: 0 },
    settings: { maxEntryVms: Math.max(options.members, 19) },
    targets: {},
    copiesMessages: false,
    vmListLagMs: 2_000,
    pushesFirst: true,
    observe: () => {},
    onEffect: (_vm, effect) => onEffect(effect),
  });
}

/**
 * Lets a fleet settle, then counts what it spends while nobody calls. Counts are exact and the same
 * each time, since time is virtual.
 * @param options - Its size.
 */
export function runIdleFleet(options: IdleFleetOptions): IdleSpending {
  const counts: Counts = { messages: 0, bytes: 0, probes: 0, writes: 0, reads: 0 };
  let isMeasuring = false;
  const fleet = createIdleFleet(options, (effect) => {
    if (isMeasuring) COUNTING[effect.kind]?.(counts, effect);
  });
  fleet.start();
  fleet.clock.runUntil(SETTLE_MS);
  isMeasuring = true;
  fleet.clock.runUntil(SETTLE_MS + MEASURED_MS);
  const seconds = MEASURED_MS / SECOND_MS;
  return {
    storeWritesPerSecond: counts.writes / seconds,
    storeReadsPerSecond: counts.reads / seconds,
    messagesPerSecond: counts.messages / seconds / options.members,
    bytesPerSecond: counts.bytes / seconds / options.members,
    probesPerSecond: counts.probes / seconds,
  };
}
