import type { VmAnnouncement } from '../balancing/index.js';
import { sortVmsForTree } from './FollowTree.js';

/** VMs that coordinate a rollout: it continues while up to two of them are down or unreachable. */
const COORDINATOR_COUNT = 3;

/** A VM that has not answered a report within this time is passed over, in milliseconds. */
const ANSWER_TIMEOUT_MS = 1_200;

/** Time after the first unanswered report when the VM is tried again, in milliseconds. */
const RETRY_SILENT_AFTER_MS = 4_000;

interface UnansweredReport {
  /** When the first report since the last answer was sent; monotonic milliseconds. */
  since: number;
}

/**
 * Selects the VMs that coordinate rollouts: the first responsive ones in an order that every VM
 * computes alike. Nearly all VMs thus report to the same coordinators without an election.
 */
export class CoordinatorChoice {
  /** First unanswered report to each VM, by its peer address. @internal */
  private readonly unanswered = new Map<string, UnansweredReport>();

  /** @internal */
  private sortedVms: readonly VmAnnouncement[] = [];

  /** @param self - This VM. */
  constructor(private readonly self: VmAnnouncement) {}

  /**
   * Replaces the list of candidates; this VM is always one of them.
   * @param vms - All announced VMs.
   */
  update(vms: Iterable<VmAnnouncement>): void {
    const byName = new Map([...vms, this.self].map((vm) => [vm.name, vm]));
    this.sortedVms = sortVmsForTree([...byName.values()]) as readonly VmAnnouncement[];
  }

  /** Position of this VM in the order; 0 is the first. */
  get rank(): number {
    return this.sortedVms.findIndex(({ name }) => name === this.self.name);
  }

  /**
   * Peer addresses of the VMs to report to, in descending precedence of their guidance.
   * @param now - Monotonic milliseconds.
   */
  getAddresses(now: number): readonly string[] {
    const responsive = this.sortedVms.filter(({ peers }) => !this.isSilent(peers, now));
    // If no other VM answers, this VM is the isolated one. It goes on reporting to the first ones,
    // so that it notices when it is connected again.
    const isIsolated = responsive.every(({ name }) => name === this.self.name);
    return (isIsolated ? this.sortedVms : responsive)
      .slice(0, COORDINATOR_COUNT)
      .map(({ peers }) => peers);
  }

  /**
   * Records that a report was sent to a VM.
   * @param address - Peer address of the VM.
   * @param now - Monotonic milliseconds.
   */
  recordReportSent(address: string, now: number): void {
    if (!this.unanswered.has(address)) this.unanswered.set(address, { since: now });
  }

  /**
   * Records that a VM answered.
   * @param address - Peer address of the VM.
   */
  recordAnswer(address: string): void {
    this.unanswered.delete(address);
  }

  /** @internal */
  private isSilent(address: string, now: number): boolean {
    const report = this.unanswered.get(address);
    if (report === undefined) return false;
    if (now - report.since > RETRY_SILENT_AFTER_MS) this.unanswered.delete(address);
    return now - report.since > ANSWER_TIMEOUT_MS;
  }
}
