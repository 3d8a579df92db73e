import type { ServiceName } from '../core/model/index.js';

/** Part of the bound that is used: views of the fleet differ, and windows have edges. */
const SAFETY = 0.8;

/** Probes that may be saved up, in seconds' worth: the bound holds on average. */
const BURST_S = 4;

/**
 * Bounds the probes that this entry VM sends to each service: its share of what all entry VMs
 * together may send to the service's targets.
 */
export class ProbeBudget {
  /** @internal */
  private readonly services = new Map<ServiceName, { left: number; at: number }>();

  /** @param perTargetAndSecond - Bound for all entry VMs together. */
  constructor(private readonly perTargetAndSecond: number) {}

  /**
   * Takes some probes out of the budget.
   * @param service - Whose targets are probed.
   * @param wanted - Probes wanted.
   * @param targets - Targets of the service.
   * @param vms - Entry VMs that share the bound.
   * @param now - Monotonic milliseconds.
   * @returns How many may be sent.
   */
  take(service: ServiceName, wanted: number, targets: number, vms: number, now: number): number {
    const rate = (SAFETY * this.perTargetAndSecond * targets) / Math.max(1, vms);
    const known = this.services.get(service) ?? { left: rate * BURST_S, at: now };
    const left = Math.min(rate * BURST_S, known.left + ((now - known.at) / 1_000) * rate);
    const taken = Math.min(wanted, Math.floor(left));
    this.services.set(service, { left: left - taken, at: now });
    return taken;
  }
}
