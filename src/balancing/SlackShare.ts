/** Number of entry VMs that divided a limit among them from some time on. */
interface VmCount {
  /** Monotonic milliseconds. */
  readonly from: number;
  readonly vms: number;
}

/**
 * Share of this entry VM in a number that all VMs together may use in any window.
 *
 * Only VMs that the store lists have a share, so that the shares of the VMs on any list add up to the
 * whole. What a VM has used counts for a whole window, also after it has left. The share is therefore
 * that of the largest fleet within the last window. A VM has no share for one window after it is
 * listed: its predecessor may have used it up, or the others may have larger shares.
 */
export class SlackShare {
  /** Numbers of VMs within the last window, in order of time. @internal */
  private readonly counts: VmCount[] = [];

  /** Since when this VM has been listed; monotonic milliseconds. @internal */
  private listedSince = Number.POSITIVE_INFINITY;

  /** @param windowMs - Length of the window, in milliseconds. */
  constructor(private readonly windowMs: number) {}

  /**
   * Records how many VMs there are.
   * @param vms - Number of VMs that the store lists.
   * @param now - Monotonic milliseconds.
   * @param isListed - Whether this VM is one of them.
   */
  recordVms(vms: number, now: number, isListed = true): void {
    this.removeExpired(now);
    this.listedSince = isListed ? Math.min(this.listedSince, now) : Number.POSITIVE_INFINITY;
    if (this.counts.at(-1)?.vms !== vms) this.counts.push({ from: now, vms });
  }

  /**
   * Returns the number of VMs that the limit is divided by; undefined while this VM has no share.
   * @param now - Monotonic milliseconds.
   * @example
   * share.recordVms(15, 0);
   * share.recordVms(12, 1_000);
   * share.getVms(9_000); // undefined
   * share.getVms(10_000); // 15
   */
  getVms(now: number): number | undefined {
    this.removeExpired(now);
    if (now < this.listedSince + this.windowMs) return undefined;
    return Math.max(1, ...this.counts.map(({ vms }) => vms));
  }

  /** Removes numbers that others have replaced before the window. @internal */
  private removeExpired(now: number): void {
    const from = now - this.windowMs;
    const current = this.counts.findLastIndex((each) => each.from <= from);
    if (current > 0) this.counts.splice(0, current);
  }
}
