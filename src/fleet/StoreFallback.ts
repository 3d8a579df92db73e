/** How long the store is watched directly after another VM's word was stale, in milliseconds. */
const DIRECT_MS = 3_000;

/**
 * A VM that found the store away does not ask it again before, in milliseconds: at the least, for each
 * VM there is, and at the most. All those that don't watch anyway so ask some 20 to 50 times a second
 * together. With each of 94 VMs asking for four sections and then twice a second, a day with eight
 * seconds without the store took 6,121 calls, 0.24 of what it earned, where others take some 1,700.
 */
const FAILED_LEAST_MS = 1_000;
const FAILED_PER_VM_MS = 50;
const FAILED_MOST_MS = 3_000;

/** How long a VM that was just asked may take to have fresh word, in milliseconds. */
export const WARM_MS = 400;
const WARM_MOST_MS = 2_000;

/**
 * Decides when a VM that leaves watching to others asks the store itself.
 *
 * It does when the second VM in a row tells it no fresh word. The first one may be the only one that
 * is cut off, and the one that stands in its place next knows as much as the store: where a third of
 * 142 VMs was cut off, each one below them asking the store took 5,493 calls, 0.17 of what the day
 * earned. If the store fails it too, the store is most likely away for all: the VMs that watch notice
 * its return first and tell the others, who would only add calls that are paid for.
 */
export class StoreFallback {
  /** VMs in a row without fresh word. @internal */
  private lostInRow = 0;

  /** @internal */
  private until = 0;

  /** @internal */
  private notBefore = 0;

  /** Whether the store is to be asked directly. */
  isOpen(now: number): boolean {
    return now < this.until;
  }

  /**
   * How long the VM that is asked now may take to have fresh word, in milliseconds. The more in a row
   * knew no better, the likelier is the store away for all of them.
   */
  get warmMs(): number {
    return Math.min(WARM_MOST_MS, WARM_MS * (1 + this.lostInRow));
  }

  /**
   * The VM that was asked has no fresh word, is silent or has ended: the next one is asked.
   * @param now - Monotonic milliseconds.
   */
  noteLost(now: number): void {
    if (this.lostInRow > 0) this.open(now);
    this.lostInRow += 1;
  }

  /**
   * The VM that is asked now has no fresh word yet.
   * @param now - Monotonic milliseconds.
   * @param askedMs - How long ago it was asked, in milliseconds.
   */
  noteWaiting(now: number, askedMs: number): void {
    if (this.lostInRow > 0 && askedMs > WARM_MS) this.open(now);
  }

  /** Another VM tells fresh word. */
  noteFresh(): void {
    this.lostInRow = 0;
    this.until = 0;
  }

  /**
   * The store has failed this VM.
   * @param now - Monotonic milliseconds.
   * @param vms - Entry VMs that there are.
   * @param chance - Uniform in [0, 1); spreads the VMs, so that they don't ask together again.
   */
  noteFailure(now: number, vms: number, chance: number): void {
    this.until = now;
    const pauseMs = Math.min(FAILED_MOST_MS, Math.max(FAILED_LEAST_MS, FAILED_PER_VM_MS * vms));
    this.notBefore = now + pauseMs * (0.5 + chance);
  }

  /** @internal */
  private open(now: number): void {
    if (now >= this.notBefore && !this.isOpen(now)) this.until = now + DIRECT_MS;
  }
}
