import type { ServiceRanks } from './getServiceRanks.js';
import { OrganisationTurns } from './OrganisationTurns.js';
import { ServicePressure } from './ServicePressure.js';
import { getGuaranteedSlots, getReservedSlots } from './slotReserve.js';
import { WorkShares } from './WorkShares.js';

/** Decisions between more and less urgent requests of one service at this VM. */
export class ServiceAdmission {
  /** Whether requests of the service are late or refused. */
  readonly pressure: ServicePressure;

  /** Requests sent for each organisation. */
  readonly turns = new OrganisationTurns();

  /** @internal */
  private readonly shares: WorkShares;

  /**
   * @param ranks - Priorities of the service.
   * @param initialWorkMs - Work time of the routes of each rank.
   * @param now - Monotonic milliseconds.
   */
  constructor(
    readonly ranks: ServiceRanks,
    initialWorkMs: readonly number[],
    now: number,
  ) {
    this.shares = new WorkShares(initialWorkMs, now);
    this.pressure = new ServicePressure(now);
  }

  /** Counts a request that has arrived from a caller. */
  recordArrival(rank: number, workMs: number, now: number): void {
    this.shares.recordArrival(rank, workMs, now);
  }

  /**
   * Returns the mean number of slots of each target that requests of a rank leave free.
   * @param rank - The rank.
   * @param bestOccupancy - Slots that a target fills without slowing down.
   */
  getReservedSlots(rank: number, bestOccupancy: number): number {
    if (rank === 0) return 0;
    return getReservedSlots(this.shares.getMoreUrgentShare(rank), bestOccupancy);
  }

  /**
   * Returns the mean number of slots of each target that requests of a rank leave to less urgent
   * ones while the service is under pressure.
   * @param rank - The rank.
   * @param bestOccupancy - Slots that a target fills without slowing down.
   * @param now - Monotonic milliseconds.
   */
  getGuaranteedSlots(rank: number, bestOccupancy: number, now: number): number {
    if (rank === this.ranks.priorities.length - 1 || !this.pressure.isRaised(now)) return 0;
    const lessUrgentShare = 1 - this.shares.getMoreUrgentShare(rank + 1);
    return getGuaranteedSlots(lessUrgentShare, bestOccupancy);
  }
}
