import { OrganisationTurns } from './OrganisationTurns.js';
import { ServicePressure } from './ServicePressure.js';
import { getGuaranteedSlots, getReservedSlots } from './slotReserve.js';
import type { RouteWork } from './WorkShares.js';
import { WorkShares } from './WorkShares.js';

/** Share of the work above which more urgent requests count; below it they find a slot anyway. */
const MIN_MORE_URGENT_SHARE = 0.005;

/** Decisions between more and less urgent requests of one service at this VM. */
export class ServiceAdmission {
  /** Whether requests of the service are late or refused. */
  readonly pressure: ServicePressure;

  /** Requests sent for each organisation. */
  readonly turns = new OrganisationTurns();

  /** @internal */
  private readonly shares: WorkShares;

  /**
   * @param now - Monotonic milliseconds.
   * @param routes - Priority and work time of the service's routes.
   */
  constructor(now: number, routes: readonly RouteWork[] = []) {
    this.shares = new WorkShares(now, routes);
    this.pressure = new ServicePressure(now);
  }

  /** Counts a request that has arrived from a caller. */
  recordArrival(priority: number, workMs: number, now: number): void {
    this.shares.recordArrival(priority, workMs, now);
  }

  /**
   * Whether there are more urgent requests that one has to leave capacity to.
   * @param priority - Priority of the request's route.
   */
  isLessUrgent(priority: number): boolean {
    return this.shares.getMoreUrgentShare(priority) >= MIN_MORE_URGENT_SHARE;
  }

  /**
   * Returns the mean number of slots of each target that requests leave free for more urgent ones.
   * @param priority - Priority of their route.
   * @param bestOccupancy - Slots that a target fills without slowing down.
   */
  getReservedSlots(priority: number, bestOccupancy: number): number {
    if (!this.isLessUrgent(priority)) return 0;
    return getReservedSlots(this.shares.getMoreUrgentShare(priority), bestOccupancy);
  }

  /**
   * Returns the mean number of slots of each target that requests leave to less urgent ones while the
   * service is under pressure.
   * @param priority - Priority of their route.
   * @param bestOccupancy - Slots that a target fills without slowing down.
   * @param now - Monotonic milliseconds.
   */
  getGuaranteedSlots(priority: number, bestOccupancy: number, now: number): number {
    if (!this.pressure.isRaised(now)) return 0;
    return getGuaranteedSlots(this.shares.getLessUrgentShare(priority), bestOccupancy);
  }
}
