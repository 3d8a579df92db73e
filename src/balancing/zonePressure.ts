import type { ServiceName, ZoneName } from '../core/model/index.js';
import type { TargetRecord } from './TargetRecord.js';

/** Readings older than this say nothing about the present wave, in milliseconds. */
const MAX_READING_AGE_MS = 1_000;

/** Fewest readings from which a zone's occupancy is estimated. */
const MIN_READINGS = 3;

/**
 * Occupancy of the own zone, as a share of its best one, from which other zones are looked at. It is
 * somewhat above `LATE_SLOT_SHARE`, up to which targets count as good enough.
 */
const MIN_OWN_OCCUPANCY = 0.6;

/** Difference of the occupancies from which a larger share is looked for in other zones. */
const RISE_MARGIN = 0.1;

/**
 * Distance between the limits for a larger and a smaller share; the mean of a few readings varies
 * without any change of the load. An assumption.
 */
const HYSTERESIS = 0.08;

/**
 * Change of the share per second and unit of difference. A difference of 0.4 above the limit moves a
 * third of the probes in a second, which is slow against the time of work and quick against a wave
 * of 15 s, so that the share settles instead of swinging. Assumptions.
 */
const RISE_PER_SECOND = 0.8;
const FALL_PER_SECOND = 1.6;

/** Smallest change of a falling share, per second, so that it ends as the wave has passed. */
const MIN_FALL_PER_SECOND = 0.1;

/** Share of probes that finds out how busy other zones are, while too few readings show it. */
const UNKNOWN_SHARE = 0.1;

/** Longest time that one update accounts for, in milliseconds; a VM may get few requests. */
const MAX_STEP_MS = 500;

/** Mean occupancy of targets by recent readings, as shares of the best occupancy. */
export interface ZoneOccupancy {
  /** Undefined if there are too few readings. */
  readonly own: number | undefined;
  readonly others: number | undefined;
}

/** Spill-over of one service. */
interface Spill {
  share: number;
  updatedAt: number;
}

function getMean(values: readonly number[]): number | undefined {
  if (values.length < MIN_READINGS) return undefined;
  return values.reduce((sum, value) => sum + value, 0) / values.length;
}

/**
 * Estimates how busy the targets of this VM's zone and of other zones are, from the readings at hand.
 * @param records - Targets that this VM prefers, of all zones.
 * @param zone - Zone of this VM.
 * @param getBestOccupancy - Number of requests with which a target of some slots does most in time.
 * @param now - Monotonic milliseconds.
 */
export function getZoneOccupancy(
  records: readonly TargetRecord[],
  zone: ZoneName,
  getBestOccupancy: (slots: number) => number,
  now: number,
): ZoneOccupancy {
  const own: number[] = [];
  const others: number[] = [];
  for (const { reading, sentSinceReading, entry } of records) {
    if (reading !== undefined && now - reading.at <= MAX_READING_AGE_MS) {
      const occupied = reading.running + reading.waiting + sentSinceReading;
      const best = Math.max(1, getBestOccupancy(Math.max(1, reading.slots)));
      (entry.zone === zone ? own : others).push(occupied / best);
    }
  }
  return { own: getMean(own), others: getMean(others) };
}

/**
 * Decides which share of a service's probes goes to other zones. It responds to demand that is higher
 * in this VM's zone than in others.
 *
 * The share is moved in small steps by the difference of the occupancies, in place of a switch: all
 * VMs of a zone read about the same, and would otherwise move their whole load to the next zone and
 * back. Each VM prefers other targets there, so that they don't meet at the same ones. No messages
 * are needed, since the readings come with probes and answers.
 */
export class ZonePressure {
  /** @internal */
  private readonly spills = new Map<ServiceName, Spill>();

  /** Share of the probes of a service that goes to targets of other zones, 0 to 1. */
  getShare(service: ServiceName): number {
    return this.spills.get(service)?.share ?? 0;
  }

  /**
   * Moves the share by what is known of the zones.
   * @param service - The service.
   * @param occupancy - Occupancy of the zones.
   * @param maxShare - Share of the service's targets that are in other zones.
   * @param now - Monotonic milliseconds.
   */
  update(
    service: ServiceName,
    { own, others }: ZoneOccupancy,
    maxShare: number,
    now: number,
  ): void {
    const spill = this.spills.get(service) ?? { share: 0, updatedAt: now };
    this.spills.set(service, spill);
    const seconds = Math.min(MAX_STEP_MS, now - spill.updatedAt) / 1_000;
    spill.updatedAt = now;
    if (own === undefined) return;
    const limit = Math.max(MIN_OWN_OCCUPANCY, (others ?? 0) + RISE_MARGIN);
    const excess = own - limit;
    if (excess > 0) {
      const highest = others === undefined ? Math.max(UNKNOWN_SHARE, spill.share) : maxShare;
      spill.share = Math.min(highest, spill.share + excess * RISE_PER_SECOND * seconds);
    } else if (excess < -HYSTERESIS) {
      const fall = Math.max(MIN_FALL_PER_SECOND, -excess * FALL_PER_SECOND);
      spill.share = Math.max(0, spill.share - fall * seconds);
    }
    // Only services whose own zone is busy are kept.
    if (spill.share === 0 && excess <= 0) this.spills.delete(service);
  }
}
