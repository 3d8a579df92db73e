import { putTarget, setZoneOut } from '../platform/standIn/index.js';
import type { TargetBehaviour } from '../platform/standIn/index.js';
import type { LinkMode } from './FaultProxy.js';
import type { SoakCallers } from './SoakCallers.js';
import type { SoakGateway } from './SoakGateway.js';
import type { SoakWorld } from './SoakWorld.js';
import { ZONES } from './SoakWorld.js';

/** Environment that a fault acts on. */
export interface FaultContext {
  readonly world: SoakWorld;
  readonly callers: SoakCallers;
  readonly random: () => number;
  /** Records a violation of a guarantee. */
  readonly notice: (sentence: string) => void;
}

/** Injects one fault from outside the gateways and reverts it. Rejects only on an error of its own. */
export type Fault = (context: FaultContext) => Promise<void>;

/** Time that a gateway has to recover after a fault, in milliseconds. */
export const SETTLE_MS = 3_000;

/** Time within which gateways must apply a configuration or a target's draining, in milliseconds. */
const IN_FORCE_MS = 2_000;

/** Time within which gateways must stop sending to a zone that is taken out, in milliseconds. */
const ZONE_OUT_MS = 5_000;

function wait(ms: number): Promise<void> {
  return new Promise((resolve) => {
    setTimeout(resolve, ms);
  });
}

function pickRandom<T>(items: readonly T[], random: () => number): T {
  return items[Math.floor(random() * items.length)];
}

/**
 * Excuses a gateway from time limits until it has recovered from a fault.
 * @param gateway - The gateway.
 * @param ms - Duration of the fault, in milliseconds.
 */
export function markDisturbed(gateway: SoakGateway, ms: number): void {
  const until = Date.now() + ms + SETTLE_MS;
  gateway.disturbances.push({ from: Date.now(), until });
  gateway.disturbedUntil = Math.max(gateway.disturbedUntil, until);
}

/** Marks a gateway as disturbed by a fault of its process, which also excuses it from limits. */
function markProcessDisturbed(gateway: SoakGateway, ms: number): void {
  markDisturbed(gateway, ms);
  gateway.excused.push({ from: Date.now(), until: Date.now() + ms + SETTLE_MS });
}

function disturbStoreLink(mode: LinkMode): Fault {
  return async ({ world, random }) => {
    const index = Math.floor(random() * world.gateways.length);
    const ms = 500 + random() * 3_000;
    markDisturbed(world.gateways[index], ms);
    world.storeLinks[index].setMode(mode);
    await wait(ms);
    world.storeLinks[index].setMode('sound');
  };
}

function disturbAllStoreLinks(mode: LinkMode): Fault {
  return async ({ world, random }) => {
    const ms = 500 + random() * 3_000;
    for (const gateway of world.gateways) markDisturbed(gateway, ms);
    for (const link of world.storeLinks) link.setMode(mode);
    await wait(ms);
    for (const link of world.storeLinks) link.setMode('sound');
  };
}

function changeTargetBehaviour(behaviour: TargetBehaviour): Fault {
  return async ({ world, random }) => {
    const { model } = pickRandom(world.targets, random);
    model.behaviour = behaviour;
    await wait(500 + random() * 2_000);
    model.behaviour = model.usualBehaviour;
  };
}

function disturbTargetLink(mode: LinkMode): Fault {
  return async ({ world, random }) => {
    const { link, entry } = pickRandom(world.targets, random);
    const ms = 500 + random() * 2_000;
    world.linkFaults.push({ target: entry.id, from: Date.now(), until: Date.now() + ms });
    link.setMode(mode);
    await wait(ms);
    link.setMode('sound');
  };
}

/** Faults by name. Each may start at any time, overlap with others and run several times at once. */
export const FAULTS: Readonly<Record<string, Fault>> = {
  storeLinkSilent: disturbStoreLink('silent'),
  storeLinkReset: disturbStoreLink('reset'),
  storeLinkOneWay: disturbStoreLink('oneWay'),
  storeLinkDelayed: disturbStoreLink('delayed'),
  storeAwaySilent: disturbAllStoreLinks('silent'),
  storeAwayReset: disturbAllStoreLinks('reset'),
  targetSlow: changeTargetBehaviour('slow'),
  targetHangs: changeTargetBehaviour('hangs'),
  targetCuts: changeTargetBehaviour('cuts'),
  targetSheds: changeTargetBehaviour('sheds'),
  targetLinkSilent: disturbTargetLink('silent'),
  targetLinkReset: disturbTargetLink('reset'),
  targetLinkDelayed: disturbTargetLink('delayed'),

  async storeForgets({ world }) {
    world.store.clearHistory();
  },

  async gatewayKilled({ world, random }) {
    const gateway = pickRandom(world.gateways, random);
    const downMs = random() * 1_000;
    markProcessDisturbed(gateway, downMs);
    gateway.kill();
    await wait(downMs);
    gateway.start();
  },

  async gatewayPaused({ world, random }) {
    const gateway = pickRandom(world.gateways, random);
    const ms = 200 + random() * 2_500;
    markProcessDisturbed(gateway, ms);
    gateway.sendSignal('SIGSTOP');
    await wait(ms);
    gateway.sendSignal('SIGCONT');
  },

  async gatewayReloads({ world, random }) {
    const gateway = pickRandom(world.gateways, random);
    gateway.writeSettings(gateway.options.storeAddress);
    if (random() < 0.5) gateway.sendSignal('SIGHUP');
  },

  async gatewayStopped({ world, callers, random, notice }) {
    const gateway = pickRandom(world.gateways, random);
    const { callers: port } = gateway.options.ports;
    const isUndisturbed = gateway.isRunning && Date.now() > gateway.disturbedUntil;
    const before = callers.records.filter(
      (each) => each.port === port && each.endedAt === undefined,
    );
    markProcessDisturbed(gateway, 7_000);
    const end = await gateway.stop();
    if (isUndisturbed && end === 'bySignal') {
      notice(`${gateway.options.name} did not exit on SIGTERM and had to be killed`);
    }
    // Requests pipelined after an answer that closes the connection count as not read.
    const cut = before.filter(
      ({ id, status, isBehindClose }) => status === 0 && !isBehindClose && !world.brokenOff.has(id),
    );
    if (isUndisturbed && end !== 'byFault' && cut.length > 0) {
      notice(`a planned stop cut ${cut.length} requests`);
    }
    gateway.start();
  },

  async configurationChanges({ world, callers, notice }) {
    const path = world.addRoute();
    await wait(IN_FORCE_MS + 100);
    const now = Date.now();
    const sound = world.gateways.filter((each) => each.isRunning && now > each.disturbedUntil);
    for (const { options } of sound) {
      const { status } = await callers.send(options.ports.callers, path, true);
      if (status === 404) {
        notice(
          `${options.name} had not applied a configuration ${IN_FORCE_MS} ms after it was published`,
        );
      }
    }
  },

  async targetReplaced({ world, random }) {
    const target = pickRandom(world.targets, random);
    await world.addTarget(target.entry.zone);
    world.removeTarget(target);
  },

  async targetDrains({ world, random }) {
    const target = pickRandom(world.targets, random);
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
        reason: 'it was draining',
      });
    }
    world.removeTarget(target);
  },

  async zoneTakenOut({ world, random }) {
    const zone = pickRandom(ZONES, random);
    // Only the fault that takes a zone out may check it: it also decides when the zone is back.
    if (world.zonesOut.has(zone)) return;
    world.zonesOut.add(zone);
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
    world.zonesOut.delete(zone);
  },
};
