import type { LimitedTarget, PermitAnswer } from './model.js';
import { getLimitKey } from './model.js';
import { getOwners } from './getOwners.js';
import { ANSWER_MS, ISSUERS, ISSUERS_AT_MOST, PERMIT_MS } from './issuing.js';

/** A silent issuer is asked again after so long, in milliseconds. */
const SILENT_MS = 1_500;

interface AskOut {
  readonly id: number;
  readonly vm: string;
  readonly at: number;
}

interface Permit {
  /** When it becomes void; monotonic milliseconds. */
  readonly endsAt: number;
  /** VM that issued it. */
  readonly vm: string;
}

interface Holding {
  readonly permits: Permit[];
  asked: AskOut | undefined;
  /** When each issuer may be asked again; monotonic milliseconds. */
  readonly againAt: Map<string, number>;
  issuers: readonly string[];
  /** VMs that the issuers were chosen from. */
  vms: readonly string[];
}

/** Permits that this VM holds for limited targets, and has asked for. */
export class PermitPool {
  /** @internal */
  private readonly holdings = new Map<string, Holding>();

  /** Issuers that have not answered lately: when each is asked again. @internal */
  private readonly silentUntil = new Map<string, number>();

  /** @internal */
  private lastAsk = 0;

  /**
   * Whether a permit for a target is held.
   * @param target - The target.
   * @param now - Monotonic milliseconds.
   */
  has(target: LimitedTarget, now: number): boolean {
    const permits = this.holdings.get(getLimitKey(target))?.permits;
    return permits?.some(({ endsAt }) => endsAt > now) ?? false;
  }

  /**
   * Takes a permit out, the one that is void first.
   * @param target - The target.
   * @param now - Monotonic milliseconds.
   * @returns The VM that issued it; undefined if none is held.
   */
  take(target: LimitedTarget, now: number): string | undefined {
    const permits = this.holdings.get(getLimitKey(target))?.permits ?? [];
    const index = permits.findIndex(({ endsAt }) => endsAt > now);
    return permits.splice(0, index + 1).at(-1)?.vm;
  }

  /**
   * Takes a permit in.
   * @param target - The target.
   * @param vm - VM that issued it.
   * @param now - Monotonic milliseconds.
   */
  add(target: LimitedTarget, vm: string, now: number): void {
    this.getHolding(target).permits.push({ endsAt: now + PERMIT_MS, vm });
  }

  /**
   * Whether an answer about a target is awaited.
   * @param target - The target.
   * @param now - Monotonic milliseconds.
   */
  isAsking(target: LimitedTarget, now: number): boolean {
    const asked = this.holdings.get(getLimitKey(target))?.asked;
    return asked !== undefined && now - asked.at < ANSWER_MS;
  }

  /**
   * The VM to ask for a permit now.
   * @param target - The target.
   * @param vms - Entry VMs that have announced themselves.
   * @param now - Monotonic milliseconds.
   * @returns Undefined if each issuer has said to come back later, or is silent.
   */
  findIssuer(target: LimitedTarget, vms: readonly string[], now: number): string | undefined {
    const { againAt } = this.getHolding(target);
    const issuers = this.getIssuers(target, vms, now);
    const open = issuers.filter((vm) => (againAt.get(vm) ?? 0) <= now);
    return open[this.lastAsk % Math.max(1, open.length)];
  }

  /**
   * When a permit can be asked for.
   * @param target - The target.
   * @param vms - Entry VMs that have announced themselves.
   * @param now - Monotonic milliseconds.
   */
  getOpenAt(target: LimitedTarget, vms: readonly string[], now: number): number {
    const { againAt } = this.getHolding(target);
    const times = this.getIssuers(target, vms, now).map((vm) => againAt.get(vm) ?? 0);
    return times.length === 0 ? now + SILENT_MS : Math.min(...times);
  }

  /** Notes that a VM is being asked; gives the ask's number. */
  noteAsked(target: LimitedTarget, vm: string, now: number): number {
    this.lastAsk += 1;
    this.getHolding(target).asked = { id: this.lastAsk, vm, at: now };
    return this.lastAsk;
  }

  /**
   * Takes an issuer's answer.
   * @param answer - The answer.
   * @param now - Monotonic milliseconds.
   * @returns Whether it answers the ask that is out: one that comes late, or twice, grants nothing.
   */
  takeAnswer(answer: PermitAnswer, now: number): boolean {
    const holding = this.holdings.get(getLimitKey(answer));
    const asked = holding?.asked;
    if (holding === undefined || asked?.id !== answer.ask) return false;
    holding.asked = undefined;
    this.silentUntil.delete(asked.vm);
    if (answer.isGranted) this.add(answer, asked.vm, now);
    else holding.againAt.set(asked.vm, now + answer.waitMs);
    return true;
  }

  /** Notes that this VM, which issues permits itself, has none to give for a while. */
  noteDenied(target: LimitedTarget, vm: string, waitMs: number, now: number): void {
    this.getHolding(target).againAt.set(vm, now + waitMs);
  }

  /**
   * Gives up an ask that was not answered in time.
   * @returns The VM that is silent; undefined if no ask is overdue.
   */
  takeSilent(target: LimitedTarget, now: number): string | undefined {
    const holding = this.holdings.get(getLimitKey(target));
    const asked = holding?.asked;
    if (holding === undefined || asked === undefined) return undefined;
    if (now - asked.at < ANSWER_MS) return undefined;
    holding.asked = undefined;
    this.silentUntil.set(asked.vm, now + SILENT_MS);
    return asked.vm;
  }

  /** Forgets targets that are not limited any more. */
  keepOnly(isLimited: (key: string) => boolean): void {
    for (const key of this.holdings.keys()) if (!isLimited(key)) this.holdings.delete(key);
  }

  /** The first issuers that answer, in an order that is the same everywhere. @internal */
  private getIssuers(
    target: LimitedTarget,
    vms: readonly string[],
    now: number,
  ): readonly string[] {
    const holding = this.getHolding(target);
    if (holding.vms !== vms) {
      holding.vms = vms;
      holding.issuers = getOwners(getLimitKey(target), vms, ISSUERS_AT_MOST);
    }
    return holding.issuers.filter((vm) => (this.silentUntil.get(vm) ?? 0) <= now).slice(0, ISSUERS);
  }

  /** @internal */
  private getHolding(target: LimitedTarget): Holding {
    const key = getLimitKey(target);
    let holding = this.holdings.get(key);
    if (holding === undefined) {
      holding = { permits: [], asked: undefined, againAt: new Map(), issuers: [], vms: [] };
      this.holdings.set(key, holding);
    }
    return holding;
  }
}
