import type { LimitedTarget, LimitReport } from './model.js';
import { getLimitKey } from './model.js';

/**
 * Answers without a limit end it only so long after the last one that named it, in milliseconds:
 * some targets name it in a part of their answers, and reports of it take a while to reach all VMs.
 */
const END_AFTER_MS = 2_000;

/** A limit that has ended doubles in this time, in milliseconds, so that no flood follows its end. */
const DOUBLING_MS = 500;

/** After so many doublings it is gone. */
const DOUBLINGS = 6;

/**
 * Least that is sent to a target, in requests a second: without any request nobody would see the end
 * of its limit.
 */
const LEAST_PER_SECOND = 0.1;

/** A limit that was named in this time is told again, in milliseconds. */
const FRESH_MS = 1_500;

/** A limit that nobody has confirmed for so long is forgotten, in milliseconds. */
const FORGET_MS = 120_000;

interface Limit {
  readonly target: LimitedTarget;
  perSecond: number;
  /** When an answer named it last; monotonic milliseconds. */
  namedAt: number;
  /** When an answer said that it is over; undefined while it is in force. */
  endedAt: number | undefined;
}

/** What a report changed. */
export type LimitChange =
  /** The target named none before, or another one. */
  | 'named'
  /** What was known is confirmed. */
  | 'confirmed'
  | 'ended';

/** What is known of the limits that targets name. */
export class LimitView {
  /** @internal */
  private readonly limits = new Map<string, Limit>();

  /** How many targets are limited, or were a while ago. */
  get size(): number {
    return this.limits.size;
  }

  /**
   * Takes what an answer said, to this VM or to another one.
   * @param report - What it said.
   * @param now - Monotonic milliseconds.
   * @returns What changed; undefined if the report is older than what is known, or says nothing new.
   */
  take({ target, bornAt, perSecond, ageMs }: LimitReport, now: number): LimitChange | undefined {
    const key = getLimitKey({ target, bornAt });
    const at = now - ageMs;
    const limit = this.limits.get(key);
    if (limit !== undefined) return LimitView.update(limit, perSecond, at);
    if (perSecond === undefined || ageMs > FORGET_MS) return undefined;
    const made = { target: { target, bornAt }, perSecond, namedAt: at, endedAt: undefined };
    this.limits.set(key, made);
    return 'named';
  }

  /** What a target named last; undefined if it is not limited now, nor was a moment ago. */
  getNamed(target: LimitedTarget): number | undefined {
    return this.limits.get(getLimitKey(target))?.perSecond;
  }

  /** Whether a key is that of a target which is limited, or was a moment ago. */
  readonly isLimited = (key: string): boolean => this.limits.has(key);

  /**
   * Forgets limits of targets that are gone and that nobody has confirmed for long.
   * @param now - Monotonic milliseconds.
   */
  forgetOld(now: number): void {
    for (const { target } of [...this.limits.values()]) this.getRate(target, now);
  }

  /**
   * Requests a second that all VMs together may send to a target.
   * @param target - The target.
   * @param now - Monotonic milliseconds.
   * @returns Undefined if it is not limited.
   */
  getRate(target: LimitedTarget, now: number): number | undefined {
    if (this.limits.size === 0) return undefined;
    const key = getLimitKey(target);
    const limit = this.limits.get(key);
    if (limit === undefined) return undefined;
    const least = Math.max(LEAST_PER_SECOND, limit.perSecond);
    if (limit.endedAt === undefined) {
      if (now - limit.namedAt <= FORGET_MS) return least;
      this.limits.delete(key);
      return undefined;
    }
    const doublings = Math.max(0, now - limit.endedAt) / DOUBLING_MS;
    if (doublings <= DOUBLINGS) return least * 2 ** doublings;
    this.limits.delete(key);
    return undefined;
  }

  /**
   * What there is to tell of one target, the limit first and then its end.
   * @param target - The target.
   * @param now - Monotonic milliseconds.
   */
  getReports(target: LimitedTarget, now: number): readonly LimitReport[] {
    const limit = this.limits.get(getLimitKey(target));
    return limit === undefined ? [] : LimitView.describe(limit, now);
  }

  /**
   * What was confirmed a moment ago, to be told again: other VMs would take the limits for ended that
   * they see no answer of.
   * @param now - Monotonic milliseconds.
   */
  getFreshReports(now: number): readonly LimitReport[] {
    return [...this.limits.values()]
      .filter(({ namedAt }) => now - namedAt < FRESH_MS)
      .flatMap((limit) => LimitView.describe(limit, now));
  }

  /** @internal */
  private static update(
    limit: Limit,
    perSecond: number | undefined,
    at: number,
  ): LimitChange | undefined {
    if (perSecond === undefined) {
      if (limit.endedAt !== undefined || at < limit.namedAt + END_AFTER_MS) return undefined;
      limit.endedAt = at;
      return 'ended';
    }
    if (at <= limit.namedAt) return undefined;
    // A report from before the end, by a VM that has not heard of the end.
    if (limit.endedAt !== undefined && at <= limit.endedAt - END_AFTER_MS) return undefined;
    const isSame = perSecond === limit.perSecond && limit.endedAt === undefined;
    limit.perSecond = perSecond;
    limit.namedAt = at;
    limit.endedAt = undefined;
    return isSame ? 'confirmed' : 'named';
  }

  /** @internal */
  private static describe(limit: Limit, now: number): LimitReport[] {
    const { target, perSecond, namedAt, endedAt } = limit;
    const named = { ...target, perSecond, ageMs: Math.round(now - namedAt) };
    if (endedAt === undefined) return [named];
    return [named, { ...target, perSecond: undefined, ageMs: Math.round(now - endedAt) }];
  }
}
