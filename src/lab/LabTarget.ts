import type { LoadReading, AdvertisedLimit, TargetStatements } from '../balancing/index.js';
import type { Clock } from '../timing/index.js';
import type { TargetsPlan } from './LabPlan.js';

/** What an answer of a simulated target states about the target. */
export interface LabStatements extends TargetStatements {
  readonly limit: AdvertisedLimit;
}

/** One request at a target. */
export interface LabWork {
  /** Time that the request takes on an idle target, in milliseconds. */
  readonly workMs: number;
  readonly onRun: () => void;
  /** Called at most once, with the outcome, the load at that moment and what the answer states. */
  readonly onEnd: (
    end: 'answered' | 'rejected',
    reading: LoadReading,
    statements: LabStatements,
  ) => void;
}

/** A simulated target in virtual time, with slots, a queue, slowdown under load and slow spells. */
export class LabTarget {
  /** Number of running requests. */
  running = 0;

  /** Total slot time used by ended requests, in milliseconds. */
  busyMs = 0;

  /** Share of requests that are currently rejected regardless of load. */
  rejectShare = 0;

  /** Pause that rejections ask for, in milliseconds; undefined if they ask for none. */
  pauseMs: number | undefined;

  /** Whether answers state that the target is shutting down. */
  isDraining = false;

  /** Advertised limit in requests per second; undefined if there is none. */
  limitPerSecond: number | undefined;

  /** Share of answers that carry the limit. */
  limitShare = 1;

  /** @internal */
  private readonly waiting: LabWork[] = [];

  /** @internal */
  private readonly cancelFunctions = new Map<LabWork, () => void>();

  /** @internal */
  private spellEndsAt: number;

  /** @internal */
  private isSlow = false;

  /**
   * @param plan - Slots, queue and slowdown of the target.
   * @param clock - Virtual clock.
   * @param random - Returns a uniform number in [0, 1).
   * @param zone - Availability zone.
   */
  constructor(
    readonly plan: TargetsPlan,
    private readonly clock: Clock,
    private readonly random: () => number,
    readonly zone = 'zone-1',
  ) {
    this.spellEndsAt = random() * plan.spellMs;
  }

  /** Slowdown factor of the current spell; 1 outside slow spells. */
  get slowdown(): number {
    while (this.clock.now() >= this.spellEndsAt) {
      this.isSlow = this.random() < this.plan.spellShare;
      this.spellEndsAt += this.plan.spellMs;
    }
    return this.isSlow ? this.plan.spellSlowdown : 1;
  }

  /** What the next answer states. @internal */
  private get statements(): LabStatements {
    const isLimitNamed = this.limitShare === 1 || this.random() < this.limitShare;
    return {
      limit: isLimitNamed ? this.limitPerSecond : undefined,
      isDraining: this.isDraining,
    };
  }

  /** Load report at the current time. */
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

  /** Slowdown factor of work that starts now, from both load and spell. */
  get serviceTimeFactor(): number {
    const { slots, kneeShare, kneeSlowdown } = this.plan;
    return ((this.running + 1) / slots > kneeShare ? kneeSlowdown : 1) * this.slowdown;
  }

  /** Runs, queues or rejects a request. */
  acceptRequest(work: LabWork): void {
    const isFull = this.running >= this.plan.slots && this.waiting.length >= this.plan.queue;
    if (isFull || this.random() < this.rejectShare) {
      work.onEnd('rejected', this.reading, { ...this.statements, pauseMs: this.pauseMs });
    } else if (this.running < this.plan.slots) this.run(work);
    else this.waiting.push(work);
  }

  /** Drops a queued request or stops a running one; no answer is sent. */
  cancelWork(work: LabWork): void {
    const index = this.waiting.indexOf(work);
    if (index >= 0) this.waiting.splice(index, 1);
    this.cancelFunctions.get(work)?.();
  }

  /** @internal */
  private run(work: LabWork): void {
    const tookMs = work.workMs * this.serviceTimeFactor;
    const startedAt = this.clock.now();
    this.running += 1;
    work.onRun();
    let isOver = false;
    const end = (): void => {
      if (isOver) return;
      isOver = true;
      this.running -= 1;
      this.busyMs += this.clock.now() - startedAt;
      this.cancelFunctions.delete(work);
      const next = this.waiting.shift();
      if (next !== undefined) this.run(next);
    };
    const cancel = this.clock.after(tookMs, () => {
      end();
      work.onEnd('answered', this.reading, this.statements);
    });
    this.cancelFunctions.set(work, () => {
      cancel();
      end();
    });
  }
}
