import type { ServiceName } from '../core/model/index.js';

/**
 * Share of the limit that is used, since the VMs' views of the fleet differ and windows have edges.
 */
const SAFETY_FACTOR = 0.8;

/** Probes that may be saved up, in seconds; the limit holds on average. */
const BURST_S = 4;

/**
 * Limits the probes that this entry VM sends to each service, to its share of what all entry VMs
 * together may send to the service's targets.
 */
export class ProbeBudget {
  /** @internal */
  private readonly buckets = new Map<ServiceName, { tokens: number; updatedAt: number }>();

  /** @param perTargetPerSecond - Probes per target and second, for all entry VMs together. */
  constructor(private readonly perTargetPerSecond: number) {}

  /**
   * Takes up to a number of probes from the budget.
   * @param service - Service whose targets are probed.
   * @param wanted - Number of probes wanted.
   * @param targets - Number of targets of the service.
   * @param vms - Number of entry VMs that share the limit.
   * @param now - Monotonic milliseconds.
   * @returns Number of probes that may be sent.
   */
  take(service: ServiceName, wanted: number, targets: number, vms: number, now: number): number {
    const rate = (SAFETY_FACTOR * this.perTargetPerSecond * targets) / Math.max(1, vms);
    const budget = this.buckets.get(service) ?? { tokens: rate * BURST_S, updatedAt: now };
    const available = Math.min(
      rate * BURST_S,
      budget.tokens + ((now - budget.updatedAt) / 1_000) * rate,
    );
    const granted = Math.min(wanted, Math.floor(available));
    this.buckets.set(service, { tokens: available - granted, updatedAt: now });
    return granted;
  }
}
