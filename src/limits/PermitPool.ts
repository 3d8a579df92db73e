import type { LimitedTarget, PermitAnswer } from './model.js';
import { getLimitKey } from './model.js';
import { getOwners } from './getOwners.js';
import {
  ISSUER_TIMEOUT_MS,
  ISSUERS_PER_TARGET,
  MAX_ACTIVE_ISSUERS,
  PERMIT_TTL_MS,
  UNRESPONSIVE_RETRY_MS,
} from './issuing.js';

interface PendingRequest {
  readonly id: number;
  readonly vm: string;
  readonly at: number;
}

interface Permit {
  /** When the permit expires; monotonic milliseconds. */
  readonly expiresAt: number;
  /** VM that issued the permit. */
  readonly vm: string;
}

interface TargetPermits {
  readonly held: Permit[];
  pending: PendingRequest | undefined;
  /** When each issuer may be asked again; monotonic milliseconds. */
  readonly retryAt: Map<string, number>;
  issuers: readonly string[];
  /** VMs that the issuers were selected from. */
  vms: readonly string[];
}

/** Permits for limited targets that this VM holds or has requested. */
export class PermitPool {
  /** @internal */
  private readonly byTarget = new Map<string, TargetPermits>();

  /** When each unresponsive issuer may be asked again; monotonic milliseconds. @internal */
  private readonly unresponsiveUntil = new Map<string, number>();

  /** @internal */
  private lastRequestId = 0;

  /**
   * Whether this VM holds a valid permit for a target.
   * @param target - The target.
   * @param now - Monotonic milliseconds.
   */
  has(target: LimitedTarget, now: number): boolean {
    const held = this.byTarget.get(getLimitKey(target))?.held;
    return held?.some(({ expiresAt }) => expiresAt > now) ?? false;
  }

  /**
   * Removes a valid permit from the pool, the one that expires first.
   * @param target - The target.
   * @param now - Monotonic milliseconds.
   * @returns The VM that issued the permit; undefined if none is held.
   */
  take(target: LimitedTarget, now: number): string | undefined {
    const held = this.byTarget.get(getLimitKey(target))?.held ?? [];
    const index = held.findIndex(({ expiresAt }) => expiresAt > now);
    return held.splice(0, index + 1).at(-1)?.vm;
  }

  /**
   * Adds a permit to the pool.
   * @param target - The target.
   * @param vm - VM that issued the permit.
   * @param now - Monotonic milliseconds.
   */
  add(target: LimitedTarget, vm: string, now: number): void {
    this.getOrCreatePermits(target).held.push({ expiresAt: now + PERMIT_TTL_MS, vm });
  }

  /**
   * Whether a request for a permit is waiting for the issuer's answer.
   * @param target - The target.
   * @param now - Monotonic milliseconds.
   */
  isPending(target: LimitedTarget, now: number): boolean {
    const pending = this.byTarget.get(getLimitKey(target))?.pending;
    return pending !== undefined && now - pending.at < ISSUER_TIMEOUT_MS;
  }

  /**
   * Selects the VM to request a permit from.
   * @param target - The target.
   * @param vms - Entry VMs that have announced themselves.
   * @param now - Monotonic milliseconds.
   * @returns Undefined if every issuer is unresponsive or has asked to wait.
   */
  getIssuer(target: LimitedTarget, vms: readonly string[], now: number): string | undefined {
    const { retryAt } = this.getOrCreatePermits(target);
    const issuers = this.getActiveIssuers(target, vms, now);
    const available = issuers.filter((vm) => (retryAt.get(vm) ?? 0) <= now);
    return available[this.lastRequestId % Math.max(1, available.length)];
  }

  /**
   * Earliest time at which a permit can be requested; monotonic milliseconds.
   * @param target - The target.
   * @param vms - Entry VMs that have announced themselves.
   * @param now - Monotonic milliseconds.
   */
  getNextRequestAt(target: LimitedTarget, vms: readonly string[], now: number): number {
    const { retryAt } = this.getOrCreatePermits(target);
    const retryTimes = this.getActiveIssuers(target, vms, now).map((vm) => retryAt.get(vm) ?? 0);
    return retryTimes.length === 0 ? now + UNRESPONSIVE_RETRY_MS : Math.min(...retryTimes);
  }

  /** Records that a permit is being requested from a VM; returns the id of the request. */
  recordRequest(target: LimitedTarget, vm: string, now: number): number {
    this.lastRequestId += 1;
    this.getOrCreatePermits(target).pending = { id: this.lastRequestId, vm, at: now };
    return this.lastRequestId;
  }

  /**
   * Handles an issuer's answer.
   * @param answer - The answer.
   * @param now - Monotonic milliseconds.
   * @returns Whether the answer belongs to the pending request. Late and duplicate answers grant
   * nothing.
   */
  acceptAnswer(answer: PermitAnswer, now: number): boolean {
    const permits = this.byTarget.get(getLimitKey(answer));
    const pending = permits?.pending;
    if (permits === undefined || pending?.id !== answer.ask) return false;
    permits.pending = undefined;
    this.unresponsiveUntil.delete(pending.vm);
    if (answer.isGranted) this.add(answer, pending.vm, now);
    else permits.retryAt.set(pending.vm, now + answer.waitMs);
    return true;
  }

  /** Records that this VM's own issuer has no permit to grant for a while. */
  recordDenial(target: LimitedTarget, vm: string, waitMs: number, now: number): void {
    this.getOrCreatePermits(target).retryAt.set(vm, now + waitMs);
  }

  /**
   * Drops the pending request if its answer is overdue.
   * @returns The VM that did not answer; undefined if no request is overdue.
   */
  expireRequest(target: LimitedTarget, now: number): string | undefined {
    const permits = this.byTarget.get(getLimitKey(target));
    const pending = permits?.pending;
    if (permits === undefined || pending === undefined) return undefined;
    if (now - pending.at < ISSUER_TIMEOUT_MS) return undefined;
    permits.pending = undefined;
    this.unresponsiveUntil.set(pending.vm, now + UNRESPONSIVE_RETRY_MS);
    return pending.vm;
  }

  /** Removes the state of targets that are no longer limited. */
  keepOnly(isLimited: (key: string) => boolean): void {
    for (const key of this.byTarget.keys()) if (!isLimited(key)) this.byTarget.delete(key);
  }

  /** The first responsive issuers, in an order that is the same on all VMs. @internal */
  private getActiveIssuers(
    target: LimitedTarget,
    vms: readonly string[],
    now: number,
  ): readonly string[] {
    const permits = this.getOrCreatePermits(target);
    if (permits.vms !== vms) {
      permits.vms = vms;
      permits.issuers = getOwners(getLimitKey(target), vms, MAX_ACTIVE_ISSUERS);
    }
    return permits.issuers
      .filter((vm) => (this.unresponsiveUntil.get(vm) ?? 0) <= now)
      .slice(0, ISSUERS_PER_TARGET);
  }

  /** @internal */
  private getOrCreatePermits(target: LimitedTarget): TargetPermits {
    const key = getLimitKey(target);
    let permits = this.byTarget.get(key);
    if (permits === undefined) {
      permits = { held: [], pending: undefined, retryAt: new Map(), issuers: [], vms: [] };
      this.byTarget.set(key, permits);
    }
    return permits;
  }
}
