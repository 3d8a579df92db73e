import type { LoadReading, AdvertisedLimit } from '../balancing/index.js';
import type { Clock } from '../timing/index.js';
import type { TargetsPlan } from './LabPlan.js';

/** One request at a target. */
export interface LabWork {
  /** Work that it is on an idle target, in milliseconds. */
  readonly workMs: number;
  readonly onRun: () => void;
  /** Told once: how it ended, and the load at that moment. */
  readonly onEnd: (
    end: 'answered' | 'rejected',
    reading: LoadReading,
    limit: AdvertisedLimit,
  ) => void;
}

/** A target in virtual time: slots, a queue, work that slows down, spells in which all is slow. */
export class LabTarget {
  /** Requests that run. */
  running = 0;

  /** Work done so far as requests and as slot time, in milliseconds. */
  busyMs = 0;

  /** Part of requests that it rejects now. */
  rejectShare = 0;

  /** Requests a second that it says it takes; undefined if it names none. */
  limitPerSecond: number | undefined;

  /** Part of its answers that name the limit. */
  limitShare = 1;

  /** @internal */
  private readonly waiting: LabWork[] = [];

  /** @internal */
  private readonly ends = new Map<LabWork, () => void>();

  /** @internal */
  private spellUntil: number;

  /** @internal */
  private isSlow = false;

  /**
   * @param plan - How it is.
   * @param clock - Time to go by.
   * @param random - Uniform in [0, 1).
   */
  constructor(
    readonly plan: TargetsPlan,
    private readonly clock: Clock,
    private readonly random: () => number,
  ) {
    this.spellUntil = random() * plan.spellMs;
  }

  /** How long work takes on its VM now; 1 is as usual. */
  get slowdown(): number {
    while (this.clock.now() >= this.spellUntil) {
      this.isSlow = this.random() < this.plan.spellShare;
      this.spellUntil += this.plan.spellMs;
    }
    return this.isSlow ? this.plan.spellSlowdown : 1;
  }

  /** The limit that its next answer names. @internal */
  private get limit(): AdvertisedLimit {
    const isNamed = this.limitShare === 1 || this.random() < this.limitShare;
    return isNamed ? this.limitPerSecond : undefined;
  }

  /** What it says of its load. */
  get reading(): LoadReading {
    return {
      at: this.clock.now(),
      running: this.running,
      waiting: this.waiting.length,
      slots: this.plan.slots,
      slowdown: this.slowdown,
      isHealthy: true,
    };
  }

  /** How many times as long work takes that starts now. */
  get factor(): number {
    const { slots, kneeShare, kneeSlowdown } = this.plan;
    return ((this.running + 1) / slots > kneeShare ? kneeSlowdown : 1) * this.slowdown;
  }

  /** Takes a request. */
  take(work: LabWork): void {
    const isFull = this.running >= this.plan.slots && this.waiting.length >= this.plan.queue;
    if (isFull || this.random() < this.rejectShare) {
      work.onEnd('rejected', this.reading, this.limit);
    } else if (this.running < this.plan.slots) this.run(work);
    else this.waiting.push(work);
  }

  /** The request's sender wants no answer any more. */
  withdraw(work: LabWork): void {
    const index = this.waiting.indexOf(work);
    if (index >= 0) this.waiting.splice(index, 1);
    this.ends.get(work)?.();
  }

  /** @internal */
  private run(work: LabWork): void {
    const tookMs = work.workMs * this.factor;
    const startedAt = this.clock.now();
    this.running += 1;
    work.onRun();
    let isOver = false;
    const end = (): void => {
      if (isOver) return;
      isOver = true;
      this.running -= 1;
      this.busyMs += this.clock.now() - startedAt;
      this.ends.delete(work);
      const next = this.waiting.shift();
      if (next !== undefined) this.run(next);
    };
    const cancel = this.clock.after(tookMs, () => {
      end();
      work.onEnd('answered', this.reading, this.limit);
    });
    this.ends.set(work, () => {
      cancel();
      end();
    });
  }
}
