import type { Quota } from '../balancing/index.js';
import type { Clock } from '../timing/index.js';
import type { QuotaNetwork } from './QuotaNetwork.js';

/** What becomes of a request. */
export interface QuotaOutcome {
  /** Called each time it is sent to a target. */
  onSent(): void;
  /** Called if it ran. */
  onRun(): void;
  onRefused(retryAfterMs: number): void;
}

/** Enforces quotas on the requests that arrive at one simulated VM. */
export interface QuotaVm {
  arrive(organisation: string, outcome: QuotaOutcome): void;
  configure(quotas: ReadonlyMap<string, Quota>): void;
  updateLiveVms(vms: readonly string[]): void;
  /** The VM's process has started, with empty state. */
  start(): void;
}

/** Dependencies of a simulated VM. */
export interface QuotaVmParts {
  readonly index: number;
  readonly names: readonly string[];
  readonly clock: Clock;
  readonly network: QuotaNetwork;
  /** All VMs by index; complete once the first request arrives. */
  readonly peers: readonly QuotaVm[];
  /** Share of the sent requests that targets reject without running them. */
  readonly rejectShare: number;
  random(): number;
}
