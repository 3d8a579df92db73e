import type { ServiceName } from '../core/model/index.js';
import type { RolloutGuidance, RolloutOrder, RolloutPhase } from '../rollouts/index.js';
import { VersionEvidence } from '../rollouts/index.js';
import type { TargetRecord } from './TargetRecord.js';

/**
 * In a trial a few new targets get so many times the load that all of them would have later on: some
 * versions fail, or are slow, only under load.
 */
const TRIAL_LOAD = 2.5;

/** New targets of a trial at least: one that is ill by itself must not be all there is. */
const LEAST_TRIAL_TARGETS = 3;

/** What this VM goes by for one running order. */
export interface ServiceRollout {
  order: RolloutOrder;
  /** When this VM first knew of the order; monotonic milliseconds. */
  readonly seenAt: number;
  guidance: RolloutGuidance | undefined;
  /** Without further word the guidance holds until then; monotonic milliseconds. */
  guidedUntil: number;
  /** Whether anyone has condemned the version; never taken back. */
  isStopped: boolean;
  readonly evidence: VersionEvidence;
  /** Ids of the new targets in the order in which all VMs take them into use. */
  newTargets: readonly string[];
}

/** How requests of a service are to be dealt out between versions. */
export type VersionStage = RolloutPhase | 'paused' | 'completed';

/**
 * How far the rollout is for this VM. One that no longer hears of it pauses: nothing more goes to the
 * new version, since it may have been condemned meanwhile.
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

/** Which versions of a service requests may go to, as far as this VM knows. */
export class ServiceVersions {
  /** Orders by service. */
  readonly rollouts = new Map<ServiceName, ServiceRollout>();

  /** Versions that were taken back, as `service|version`; they stay so if the order is removed. */
  readonly barred = new Set<string>();

  /** Whether the orders were read, so that a version without one is known to have none. */
  isKnown = false;

  /** @param isUsed - Whether operators order rollouts here at all. */
  constructor(readonly isUsed: boolean) {}

  /**
   * Takes the orders that there are now.
   * @param orders - All of them.
   * @param now - Monotonic milliseconds.
   * @returns Rollouts that are new, or whose state has changed.
   */
  take(orders: readonly RolloutOrder[], now: number): ServiceRollout[] {
    this.isKnown = true;
    const changed: ServiceRollout[] = [];
    const services = new Set(orders.map(({ service }) => service));
    for (const service of this.rollouts.keys()) {
      if (!services.has(service)) this.rollouts.delete(service);
    }
    for (const order of orders) {
      const known = this.rollouts.get(order.service);
      if (known?.order.id === order.id) {
        if (known.order.state !== order.state) changed.push(known);
        known.order = order;
      } else changed.push(this.begin(order, now));
      const version = `${order.service}|${order.version}`;
      if (order.state === 'rolledBack') this.barred.add(version);
      else this.barred.delete(version);
    }
    return changed;
  }

  /**
   * Puts a service's new targets into the order in which all VMs take them into use.
   * @param service - The service.
   * @param records - Its targets.
   */
  sortNew(service: ServiceName, records: readonly TargetRecord[]): void {
    const rollout = this.rollouts.get(service);
    if (rollout === undefined) return;
    const { version } = rollout.order;
    rollout.newTargets = records
      .filter(({ entry }) => entry.version === version && !entry.isDraining)
      .sort((a, b) => a.commonRank - b.commonRank)
      .map(({ entry }) => entry.id);
  }

  /** @internal */
  private begin(order: RolloutOrder, now: number): ServiceRollout {
    const rollout: ServiceRollout = {
      order,
      seenAt: now,
      guidance: undefined,
      guidedUntil: 0,
      isStopped: false,
      evidence: new VersionEvidence(),
      newTargets: [],
    };
    this.rollouts.set(order.service, rollout);
    return rollout;
  }
}

/** How many of the new targets are in use at a share of the requests. */
function countInUse({ phase, share }: RolloutGuidance, targets: number): number {
  if (phase === 'moved') return targets;
  const load = phase === 'trial' ? TRIAL_LOAD : 1;
  return Math.max(LEAST_TRIAL_TARGETS, Math.ceil((share * targets) / load));
}

/**
 * New targets that requests may be tried on now.
 * @param rollout - The rollout; it has guidance.
 */
export function getTargetsInUse({ guidance, newTargets }: ServiceRollout): ReadonlySet<string> {
  if (guidance === undefined) return new Set();
  return new Set(newTargets.slice(0, countInUse(guidance, newTargets.length)));
}

/**
 * Share of a route's requests that are tried on the new version.
 * @param rollout - The rollout.
 * @param route - Name of the route.
 */
export function getRouteShare({ guidance }: ServiceRollout, route: string): number {
  return guidance?.routeShares?.[route] ?? guidance?.share ?? 0;
}
