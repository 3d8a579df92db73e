import type { VmListEntry } from '../../core/index.js';
import type { Clock } from '../../timing/index.js';

interface VmListSnapshot {
  readonly at: number;
  readonly vms: readonly VmListEntry[];
}

/** Model of the platform's VM list, which shows each change only after a delay. */
export class VmListModel {
  /** Delay until a change becomes visible, in milliseconds; tests may modify it. */
  lagMs: number;

  /** @internal */
  private readonly snapshots: VmListSnapshot[] = [];

  /**
   * @param clock - Source of time.
   * @param lagMs - Delay until a change becomes visible, in milliseconds.
   */
  constructor(
    private readonly clock: Clock,
    lagMs = 2_000,
  ) {
    this.lagMs = lagMs;
  }

  /**
   * Records the actual state of all VMs at the current time.
   * @param vms - All VMs.
   */
  setVms(vms: readonly VmListEntry[]): void {
    this.snapshots.push({ at: this.clock.now(), vms });
  }

  /** Returns the list that was current `lagMs` ago, or the first one if there was none yet. */
  getVisibleVms(): readonly VmListEntry[] {
    const visibleUntil = this.clock.now() - this.lagMs;
    const visible = this.snapshots.findLast(({ at }) => at <= visibleUntil) ?? this.snapshots[0];
    return visible?.vms ?? [];
  }
}
