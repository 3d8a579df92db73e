/** Range of the time for which a VM that could not help is not asked, in milliseconds. */
const MIN_EXCLUSION_MS = 500;
const MAX_EXCLUSION_MS = 4_000;

/** A VM that has helped within this time is preferred, in milliseconds. */
const RECENT_MS = 2_000;

/** Share of requests that are passed to any VM, so that more of those that can help are found. */
const EXPLORATION_SHARE = 0.1;

interface Helper {
  /** Not asked before this time; monotonic milliseconds. */
  excludedUntil: number;
  /** How often in a row it could not help. */
  exclusions: number;
  /** Requests that it has not answered yet. */
  outstanding: number;
  helpedAt: number;
}

function pickRandom(names: readonly string[], random: () => number): string | undefined {
  return names[Math.floor(random() * names.length)];
}

/**
 * Other VMs that requests are passed on to while this one does not reach their targets. Which of them
 * can help is learnt from their answers.
 */
export class HelperPool {
  /** @internal */
  private readonly helpers = new Map<string, Helper>();

  /**
   * Chooses a VM: of two that have helped lately the one with fewer open requests, else any.
   * @param vms - Names of the VMs that are up.
   * @param tried - VMs that the request was passed on to.
   * @param now - Monotonic milliseconds.
   * @param random - Uniform in [0, 1).
   * @returns Undefined if no VM is left to ask.
   */
  choose(
    vms: readonly string[],
    tried: ReadonlySet<string>,
    now: number,
    random: () => number,
  ): string | undefined {
    const open = this.getOpen(vms, tried, now);
    const recent = open.filter((vm) => {
      const helper = this.helpers.get(vm);
      return helper !== undefined && now - helper.helpedAt <= RECENT_MS;
    });
    if (recent.length === 0 || random() < EXPLORATION_SHARE) return pickRandom(open, random);
    const first = pickRandom(recent, random) as string;
    const second = pickRandom(recent, random) as string;
    return this.getOutstanding(second) < this.getOutstanding(first) ? second : first;
  }

  /**
   * Returns the VMs that may be asked now.
   * @param vms - Names of the VMs that are up.
   * @param tried - VMs that the request was passed on to.
   * @param now - Monotonic milliseconds.
   */
  getOpen(vms: readonly string[], tried: ReadonlySet<string>, now: number): readonly string[] {
    return vms.filter((vm) => !tried.has(vm) && (this.helpers.get(vm)?.excludedUntil ?? 0) <= now);
  }

  /** Records that a request was passed on to a VM. */
  recordSent(vm: string): void {
    this.getHelper(vm).outstanding += 1;
  }

  /** Records that a VM has answered a request, or that it is no longer waited for. */
  recordEnd(vm: string): void {
    this.getHelper(vm).outstanding -= 1;
  }

  /** Records that a VM has served a request. */
  recordHelp(vm: string, now: number): void {
    const helper = this.getHelper(vm);
    helper.helpedAt = now;
    helper.exclusions = 0;
  }

  /** Records that a VM is not up or reaches no target itself; it is not asked for some time. */
  exclude(vm: string, now: number): void {
    const helper = this.getHelper(vm);
    const forMs = Math.min(MAX_EXCLUSION_MS, MIN_EXCLUSION_MS * 2 ** helper.exclusions);
    helper.exclusions += 1;
    helper.excludedUntil = now + forMs;
    helper.helpedAt = Number.NEGATIVE_INFINITY;
  }

  /**
   * Forgets VMs that are gone.
   * @param vms - Names of the VMs that are known.
   */
  keepOnly(vms: ReadonlySet<string>): void {
    for (const [vm, { outstanding }] of this.helpers) {
      if (!vms.has(vm) && outstanding === 0) this.helpers.delete(vm);
    }
  }

  /** @internal */
  private getOutstanding(vm: string): number {
    return this.helpers.get(vm)?.outstanding ?? 0;
  }

  /** @internal */
  private getHelper(vm: string): Helper {
    let helper = this.helpers.get(vm);
    if (helper === undefined) {
      helper = {
        excludedUntil: 0,
        exclusions: 0,
        outstanding: 0,
        helpedAt: Number.NEGATIVE_INFINITY,
      };
      this.helpers.set(vm, helper);
    }
    return helper;
  }
}
