import { putTarget, setZoneOut } from '../platform/standIn/index.js';
import type { TargetBehaviour } from '../platform/standIn/index.js';
import type { LinkMood } from './FaultProxy.js';
import type { SoakCallers } from './SoakCallers.js';
import type { SoakGateway } from './SoakGateway.js';
import type { SoakWorld } from './SoakWorld.js';
import { ZONES } from './SoakWorld.js';

/** What a fault works with. */
export interface FaultContext {
  readonly world: SoakWorld;
  readonly callers: SoakCallers;
  readonly random: () => number;
  /** Notes a promise that was seen broken. */
  readonly notice: (sentence: string) => void;
}

/** Does one thing from outside the gateways, and undoes it. Rejects only on a fault of its own. */
export type Fault = (context: FaultContext) => Promise<void>;

/** After a disturbance a gateway has this long to be up to date again, in milliseconds. */
const SETTLE_MS = 3_000;

/** Within this time a configuration, or a target's leaving, is to be in force, in milliseconds. */
const IN_FORCE_MS = 2_000;

/** The same for a zone that is taken out. */
const ZONE_OUT_MS = 5_000;

function wait(ms: number): Promise<void> {
  return new Promise((resolve) => {
    setTimeout(resolve, ms);
  });
}

function pick<T>(items: readonly T[], random: () => number): T {
  return items[Math.floor(random() * items.length)];
}

function disturb(gateway: SoakGateway, ms: number): void {
  gateway.disturbedUntil = Math.max(gateway.disturbedUntil, Date.now() + ms + SETTLE_MS);
}

/** The same for what befalls its process, which excuses it from limits too. */
function disturbProcess(gateway: SoakGateway, ms: number): void {
  disturb(gateway, ms);
  gateway.excused.push({ from: Date.now(), until: Date.now() + ms + SETTLE_MS });
}

function disturbStoreLink(mood: LinkMood): Fault {
  return async ({ world, random }) => {
    const index = Math.floor(random() * world.gateways.length);
    const ms = 500 + random() * 3_000;
    disturb(world.gateways[index], ms);
    world.storeLinks[index].set(mood);
    await wait(ms);
    world.storeLinks[index].set('sound');
  };
}

function disturbAllStoreLinks(mood: LinkMood): Fault {
  return async ({ world, random }) => {
    const ms = 500 + random() * 3_000;
    for (const gateway of world.gateways) disturb(gateway, ms);
    for (const link of world.storeLinks) link.set(mood);
    await wait(ms);
    for (const link of world.storeLinks) link.set('sound');
  };
}

function changeTarget(mood: TargetBehaviour): Fault {
  return async ({ world, random }) => {
    const { model } = pick(world.targets, random);
    model.behaviour = mood;
    await wait(500 + random() * 2_000);
    model.behaviour = 'sound';
  };
}

function disturbTargetLink(mood: LinkMood): Fault {
  return async ({ world, random }) => {
    const { link } = pick(world.targets, random);
    link.set(mood);
    await wait(500 + random() * 2_000);
    link.set('sound');
  };
}

/** Faults by name; each may come at any time, beside others and more than once. */
export const FAULTS: Readonly<Record<string, Fault>> = {
  storeLinkSilent: disturbStoreLink('silent'),
  storeLinkReset: disturbStoreLink('reset'),
  storeLinkOneWay: disturbStoreLink('oneWay'),
  storeLinkDelayed: disturbStoreLink('delayed'),
  storeAwaySilent: disturbAllStoreLinks('silent'),
  storeAwayReset: disturbAllStoreLinks('reset'),
  targetSlow: changeTarget('slow'),
  targetHangs: changeTarget('hangs'),
  targetCuts: changeTarget('cuts'),
  targetSheds: changeTarget('sheds'),
  targetLinkSilent: disturbTargetLink('silent'),
  targetLinkReset: disturbTargetLink('reset'),
  targetLinkDelayed: disturbTargetLink('delayed'),

  async storeForgets({ world }) {
    world.store.clearHistory();
  },

  async gatewayKilled({ world, random }) {
    const gateway = pick(world.gateways, random);
    const downMs = random() * 1_000;
    disturbProcess(gateway, downMs);
    gateway.kill();
    await wait(downMs);
    gateway.start();
  },

  async gatewayPaused({ world, random }) {
    const gateway = pick(world.gateways, random);
    const ms = 200 + random() * 2_500;
    disturbProcess(gateway, ms);
    gateway.signal('SIGSTOP');
    await wait(ms);
    gateway.signal('SIGCONT');
  },

  async gatewayReloads({ world, random }) {
    const gateway = pick(world.gateways, random);
    gateway.writeSettings(gateway.options.storeAddress);
    if (random() < 0.5) gateway.signal('SIGHUP');
  },

  async gatewayStopped({ world, callers, random, notice }) {
    const gateway = pick(world.gateways, random);
    const { callers: port } = gateway.options.ports;
    const isUndisturbed = gateway.isUp && Date.now() > gateway.disturbedUntil;
    const before = callers.records.filter(
      (each) => each.port === port && each.endedAt === undefined,
    );
    disturbProcess(gateway, 7_000);
    const end = await gateway.stop();
    if (isUndisturbed && end === 'bySignal') {
      notice(`${gateway.options.name} had to be killed after SIGTERM`);
    }
    // What stands behind an answer that closes the connection counts as not read.
    const cut = before.filter(({ status, isBehindClose }) => status === 0 && !isBehindClose);
    if (isUndisturbed && end !== 'byFault' && cut.length > 0) {
      notice(`a planned stop cut ${cut.length} requests`);
    }
    gateway.start();
  },

  async configurationChanges({ world, callers, notice }) {
    const path = world.addRoute();
    await wait(IN_FORCE_MS + 100);
    const now = Date.now();
    const sound = world.gateways.filter((each) => each.isUp && now > each.disturbedUntil);
    for (const { options } of sound) {
      const { status } = await callers.send(options.ports.callers, path, true);
      if (status === 404) {
        notice(`${options.name} did not know a configuration ${IN_FORCE_MS} ms after it`);
      }
    }
  },

  async targetReplaced({ world, random }) {
    const target = pick(world.targets, random);
    await world.addTarget(target.entry.zone);
    world.removeTarget(target);
  },

  async targetDrains({ world, random }) {
    const target = pick(world.targets, random);
    if (world.targets.length < 4 || target.entry.isDraining) return;
    await world.addTarget(target.entry.zone);
    target.entry = { ...target.entry, isDraining: true };
    putTarget(world.store, target.entry);
    const wasCalm = world.isCalm;
    await wait(IN_FORCE_MS);
    const from = Date.now();
    await wait(1_000);
    if (wasCalm && world.isCalm) {
      world.bans.push({
        target: target.entry.id,
        from,
        until: Date.now(),
        reason: 'it was leaving',
      });
    }
    world.removeTarget(target);
  },

  async zoneTakenOut({ world, random }) {
    const zone = pick(ZONES, random);
    setZoneOut(world.store, zone, true);
    await wait(ZONE_OUT_MS);
    const from = Date.now();
    await wait(1_000);
    if (world.isCalm) {
      for (const { entry } of world.targets.filter((each) => each.entry.zone === zone)) {
        world.bans.push({ target: entry.id, from, until: Date.now(), reason: `${zone} was out` });
      }
    }
    setZoneOut(world.store, zone, false);
  },
};
