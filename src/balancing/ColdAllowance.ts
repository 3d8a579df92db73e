import { hashText } from '../core/hash.js';
import type { TargetId } from '../core/model/index.js';

/** Entry VMs that may send to one cold target: one of them may be down without idling it. */
const OWNERS = 3;

/** Owners that the bound is divided by: views of the fleet may differ by this many VMs. */
const OWNERS_COUNTED = 5;

/** What all entry VMs together may send to a cold target. */
export interface ColdBound {
  /** Requests a second that a cold target bears, times the overage that is allowed. */
  readonly perSecond: number;
  /** Requests on top in any second. */
  readonly slack: number;
}

/**
 * The VMs that may send to a target while it is cold (rendezvous hashing).
 * @param target - The cold target.
 * @param vms - Names of the entry VMs that are up.
 * @example
 * getColdOwners('t-1', ['vm-a', 'vm-b', 'vm-c', 'vm-d']).length; // 3
 */
export function getColdOwners(target: TargetId, vms: readonly string[]): readonly string[] {
  return vms
    .map((vm) => ({ vm, weight: hashText(`${vm}|${target}`) }))
    .sort((a, b) => b.weight - a.weight)
    .slice(0, OWNERS)
    .map(({ vm }) => vm);
}

/**
 * Lets this entry VM's share of requests into cold targets.
 *
 * A cold target crashes when all entry VMs send to it as if it were warm; seen as targets that die
 * again each time they come back. Only a few VMs may send to one, and each has a fixed part of the
 * bound, so that the sum holds while their views of the fleet differ.
 */
export class ColdAllowance {
  /** Tokens left and when they were counted, by target. @internal */
  private readonly tokens = new Map<TargetId, { left: number; at: number }>();

  /** @param bound - What all entry VMs together may send. */
  constructor(private readonly bound: ColdBound) {}

  /** Forgets targets that are gone. */
  keepOnly(targets: ReadonlyMap<TargetId, unknown>): void {
    for (const id of this.tokens.keys()) if (!targets.has(id)) this.tokens.delete(id);
  }

  /**
   * Whether one more request may go to a cold target; it does not take the allowance.
   * @param target - The cold target.
   * @param coldPerSecond - What its service says that a cold target bears.
   * @param now - Monotonic milliseconds.
   */
  has(target: TargetId, coldPerSecond: number, now: number): boolean {
    return this.count(target, coldPerSecond, now) >= 1;
  }

  /**
   * Takes one request out of a cold target's allowance.
   * @param target - The cold target.
   * @param coldPerSecond - What its service says that a cold target bears.
   * @param now - Monotonic milliseconds.
   */
  take(target: TargetId, coldPerSecond: number, now: number): void {
    const left = this.count(target, coldPerSecond, now);
    this.tokens.set(target, { left: left - 1, at: now });
  }

  /** @internal */
  private count(target: TargetId, coldPerSecond: number, now: number): number {
    const perWindow = coldPerSecond * this.bound.perSecond + this.bound.slack;
    // A second holds what has been saved up, at most one, and what accrues in it.
    const rate = Math.max(0, perWindow / OWNERS_COUNTED - 1);
    const known = this.tokens.get(target);
    if (known === undefined) return 1;
    return Math.min(1, known.left + ((now - known.at) / 1_000) * rate);
  }
}
