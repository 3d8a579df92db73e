import type { ServiceName } from '../core/model/index.js';
import type { RolloutGuidance, RolloutOrder, RolloutPhase } from '../rollouts/index.js';
import { BaselineWorkTimes, VersionEvidence } from '../rollouts/index.js';
import type { TargetRecord } from './TargetRecord.js';
import { isDraining } from './TargetRecord.js';

/**
 * Load of a target in a trial, as a multiple of the load if all new targets were in use: some
 * versions fail, or are slow, only under load.
 */
const TRIAL_LOAD_FACTOR = 2.5;

/**
 * Minimum number of new targets in a trial, so that one faulty target is not mistaken for a bad
 * version.
 */
const MIN_TRIAL_TARGETS = 3;

/** State of one rollout order at this VM. */
export interface ServiceRollout {
  order: RolloutOrder;
  /** When this VM first read the order; monotonic milliseconds. */
  readonly seenAt: number;
  guidance: RolloutGuidance | undefined;
  /** When the guidance expires unless it is renewed; monotonic milliseconds. */
  guidedUntil: number;
  /** Whether a coordinator has found the version bad; never reset. */
  isStopped: boolean;
  readonly evidence: VersionEvidence;
  /** What the old targets' answers say about the work times of routes. */
  readonly baseline: BaselineWorkTimes;
  /** Ids of the new targets in the order in which all VMs start to use them. */
  newTargets: readonly string[];
}

/** How requests of a service are divided between its versions. */
export type VersionStage = RolloutPhase | 'paused' | 'completed';

/**
 * Returns the stage of a rollout at this VM. A rollout without current guidance is paused: nothing
 * more is sent to the new version, since it may have been found bad in the meantime.
 * @param rollout - The rollout.
 * @param now - Monotonic milliseconds.
 */
export function getStage(
  { order, isStopped, guidance, guidedUntil }: ServiceRollout,
  now: number,
): VersionStage {
  if (order.state === 'completed') return 'completed';
  if (order.state === 'rolledBack' || isStopped) return 'stopped';
  return guidance === undefined || now > guidedUntil ? 'paused' : guidance.phase;
}

/** Tracks rollout orders, and thereby which versions of a service requests may be sent to. */
export class ServiceVersions {
  /** Rollouts by service. */
  readonly rollouts = new Map<ServiceName, ServiceRollout>();

  /**
   * Versions that were rolled back, as `service|version`; they remain here if the order is removed.
   */
  readonly rolledBackVersions = new Set<string>();

  /**
   * Whether the orders have been read; before, a version may have an order that is not known yet.
   */
  hasReadOrders = false;

  /** @param isEnabled - Whether rollouts are used. */
  constructor(readonly isEnabled: boolean) {}

  /**
   * Applies the complete list of current orders.
   * @param orders - All orders.
   * @param now - Monotonic milliseconds.
   * @returns Rollouts that are new, or whose state has changed.
   */
  applyOrders(orders: readonly RolloutOrder[], now: number): ServiceRollout[] {
    this.hasReadOrders = true;
    const changed: ServiceRollout[] = [];
    const services = new Set(orders.map(({ service }) => service));
    for (const service of this.rollouts.keys()) {
      if (!services.has(service)) this.rollouts.delete(service);
    }
    for (const order of orders) {
      const existing = this.rollouts.get(order.service);
      if (existing?.order.id === order.id) {
        if (existing.order.state !== order.state) changed.push(existing);
        existing.order = order;
      } else changed.push(this.startRollout(order, now));
      const version = `${order.service}|${order.version}`;
      if (order.state === 'rolledBack') this.rolledBackVersions.add(version);
      else this.rolledBackVersions.delete(version);
    }
    return changed;
  }

  /**
   * Sorts a service's new targets into the order in which all VMs start to use them.
   * @param service - The service.
   * @param records - Its targets.
   */
  sortNewTargets(service: ServiceName, records: readonly TargetRecord[]): void {
    const rollout = this.rollouts.get(service);
    if (rollout === undefined) return;
    const { version } = rollout.order;
    rollout.newTargets = records
      .filter((record) => record.entry.version === version && !isDraining(record))
      .sort((a, b) => a.idHash - b.idHash)
      .map(({ entry }) => entry.id);
  }

  /** @internal */
  private startRollout(order: RolloutOrder, now: number): ServiceRollout {
    const rollout: ServiceRollout = {
      order,
      seenAt: now,
      guidance: undefined,
      guidedUntil: 0,
      isStopped: false,
      evidence: new VersionEvidence(),
      baseline: new BaselineWorkTimes(),
      newTargets: [],
    };
    this.rollouts.set(order.service, rollout);
    return rollout;
  }
}

/** Returns how many of the new targets are in use at a share of the requests. */
function countTargetsInUse({ phase, share }: RolloutGuidance, targets: number): number {
  if (phase === 'moved') return targets;
  const loadFactor = phase === 'trial' ? TRIAL_LOAD_FACTOR : 1;
  return Math.max(MIN_TRIAL_TARGETS, Math.ceil((share * targets) / loadFactor));
}

/**
 * Returns the ids of the new targets that requests may be sent to now.
 * @param rollout - The rollout.
 */
export function getTargetsInUse({ guidance, newTargets }: ServiceRollout): ReadonlySet<string> {
  if (guidance === undefined) return new Set();
  return new Set(newTargets.slice(0, countTargetsInUse(guidance, newTargets.length)));
}

/**
 * Returns the share of a route's requests that are sent to the new version.
 * @param rollout - The rollout.
 * @param route - Name of the route.
 */
export function getRouteShare({ guidance }: ServiceRollout, route: string): number {
  const { routeShares = {}, share = 0 } = guidance ?? {};
  // A route may have the name of an inherited property.
  return Object.hasOwn(routeShares, route) ? routeShares[route] : share;
}
