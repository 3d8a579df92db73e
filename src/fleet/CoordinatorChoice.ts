import type { VmEntry } from '../balancing/index.js';
import { sortForTree } from './FollowTree.js';

/** VMs that coordinate a rollout: two of them may be down or cut off without holding it up. */
const COORDINATORS = 3;

/** A VM that was asked and has not answered for so long is left out, in milliseconds. */
const SILENT_MS = 1_200;

/** It is asked again after so long, in milliseconds. */
const AGAIN_MS = 4_000;

interface Asked {
  /** When it was first asked since it last answered; monotonic milliseconds. */
  since: number;
}

/**
 * Chooses the VMs that coordinate a rollout: the first that answer, in an order that is the same
 * everywhere. So nearly all VMs report to the same ones without electing any.
 */
export class CoordinatorChoice {
  /** VMs that have not answered yet, by peer address. @internal */
  private readonly asked = new Map<string, Asked>();

  /** @internal */
  private vms: readonly VmEntry[] = [];

  /** @param self - This VM. */
  constructor(private readonly self: VmEntry) {}

  /**
   * Takes the VMs that there are.
   * @param vms - All that are announced.
   */
  update(vms: Iterable<VmEntry>): void {
    const byName = new Map([...vms, this.self].map((vm) => [vm.name, vm]));
    this.vms = sortForTree([...byName.values()]) as readonly VmEntry[];
  }

  /** Place of this VM in the order; 0 is the first. */
  get rank(): number {
    return this.vms.findIndex(({ name }) => name === this.self.name);
  }

  /**
   * Peer addresses of the VMs to report to, the one whose word goes first at the front.
   * @param now - Monotonic milliseconds.
   */
  getAddresses(now: number): readonly string[] {
    const good = this.vms.filter(({ peers }) => !this.isSilent(peers, now));
    // If nobody else answers it is this VM that is cut off; it has to notice the end of that.
    const isAlone = good.every(({ name }) => name === this.self.name);
    return (isAlone ? this.vms : good).slice(0, COORDINATORS).map(({ peers }) => peers);
  }

  /** A VM was asked. */
  noteAsked(address: string, now: number): void {
    if (!this.asked.has(address)) this.asked.set(address, { since: now });
  }

  /** A VM answered. */
  noteHeard(address: string): void {
    this.asked.delete(address);
  }

  /** @internal */
  private isSilent(address: string, now: number): boolean {
    const asked = this.asked.get(address);
    if (asked === undefined) return false;
    if (now - asked.since > AGAIN_MS) this.asked.delete(address);
    return now - asked.since > SILENT_MS;
  }
}
