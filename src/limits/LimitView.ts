import type { LimitedTarget, LimitReport } from './model.js';
import { getLimitKey } from './model.js';

/**
 * An answer without a limit ends a known limit only if it came at least this long after the last
 * answer that advertised the limit, in milliseconds. Some targets advertise the limit in only part
 * of their answers, and reports of it reach other VMs with a delay.
 */
const END_DELAY_MS = 2_000;

/**
 * After a limit has ended, the allowed rate doubles at this interval, in milliseconds. Lifting the
 * limit at once would flood a target that has just recovered.
 */
const RECOVERY_DOUBLING_MS = 500;

/** Number of doublings after which an ended limit is removed. */
const RECOVERY_DOUBLINGS = 6;

/**
 * Minimum rate at which requests are sent to a limited target, in requests per second. With no
 * requests at all, no VM would see the end of the limit.
 */
const MIN_RATE_PER_SECOND = 0.1;

/** A limit that was advertised within this time is reported to other VMs again, in milliseconds. */
const RECENT_MS = 1_500;

/** A limit that no answer has confirmed for this long is removed, in milliseconds. */
const LIMIT_TTL_MS = 120_000;

interface LimitState {
  readonly target: LimitedTarget;
  perSecond: number;
  /** When an answer last advertised the limit; monotonic milliseconds. */
  advertisedAt: number;
  /** When an answer showed that the limit had ended; undefined while it is in force. */
  endedAt: number | undefined;
}

/** How a report changed what is known of a target's limit. */
export type LimitChange =
  /** The target had no known limit or a different one. */
  | 'named'
  /** The known limit is still in force. */
  | 'confirmed'
  | 'ended';

/** Limits that targets advertise, as known from answers to this VM and reports of other VMs. */
export class LimitView {
  /** @internal */
  private readonly limits = new Map<string, LimitState>();

  /** Number of targets that are limited or whose limit ended recently. */
  get size(): number {
    return this.limits.size;
  }

  /**
   * Applies what an answer to this VM or to another VM said about its target's limit.
   * @param report - The limit that the answer advertised, if any, and the age of the answer.
   * @param now - Monotonic milliseconds.
   * @returns What changed; undefined if the report is older than what is known or changes nothing.
   */
  applyReport(
    { target, bornAt, perSecond, ageMs }: LimitReport,
    now: number,
  ): LimitChange | undefined {
    const key = getLimitKey({ target, bornAt });
    const answeredAt = now - ageMs;
    const limit = this.limits.get(key);
    if (limit !== undefined) return LimitView.updateLimit(limit, perSecond, answeredAt);
    if (perSecond === undefined || ageMs > LIMIT_TTL_MS) return undefined;
    const created = {
      target: { target, bornAt },
      perSecond,
      advertisedAt: answeredAt,
      endedAt: undefined,
    };
    this.limits.set(key, created);
    return 'named';
  }

  /**
   * The rate that a target last advertised, in requests per second; undefined if the target has no
   * limit and none that ended recently.
   */
  getAdvertisedRate(target: LimitedTarget): number | undefined {
    return this.limits.get(getLimitKey(target))?.perSecond;
  }

  /** Whether a key belongs to a target that is limited or whose limit ended recently. */
  readonly isLimited = (key: string): boolean => this.limits.has(key);

  /**
   * Removes limits that ended a while ago or that no answer has confirmed for a long time.
   * @param now - Monotonic milliseconds.
   */
  removeExpired(now: number): void {
    for (const { target } of [...this.limits.values()]) this.getAllowedRate(target, now);
  }

  /**
   * Requests per second that all VMs together may send to a target.
   * @param target - The target.
   * @param now - Monotonic milliseconds.
   * @returns Undefined if the target is not limited.
   */
  getAllowedRate(target: LimitedTarget, now: number): number | undefined {
    if (this.limits.size === 0) return undefined;
    const key = getLimitKey(target);
    const limit = this.limits.get(key);
    if (limit === undefined) return undefined;
    const baseRate = Math.max(MIN_RATE_PER_SECOND, limit.perSecond);
    if (limit.endedAt === undefined) {
      if (now - limit.advertisedAt <= LIMIT_TTL_MS) return baseRate;
      this.limits.delete(key);
      return undefined;
    }
    const doublings = Math.max(0, now - limit.endedAt) / RECOVERY_DOUBLING_MS;
    if (doublings <= RECOVERY_DOUBLINGS) return baseRate * 2 ** doublings;
    this.limits.delete(key);
    return undefined;
  }

  /**
   * Reports to send to other VMs about one target: its limit, followed by the end of that limit if
   * it has ended.
   * @param target - The target.
   * @param now - Monotonic milliseconds.
   */
  getReports(target: LimitedTarget, now: number): readonly LimitReport[] {
    const limit = this.limits.get(getLimitKey(target));
    return limit === undefined ? [] : LimitView.toReports(limit, now);
  }

  /**
   * Reports on limits that were advertised recently, to be sent again. VMs that see no answer
   * advertising the limit would otherwise consider it ended.
   * @param now - Monotonic milliseconds.
   */
  getFreshReports(now: number): readonly LimitReport[] {
    return [...this.limits.values()]
      .filter(({ advertisedAt }) => now - advertisedAt < RECENT_MS)
      .flatMap((limit) => LimitView.toReports(limit, now));
  }

  /** @internal */
  private static updateLimit(
    limit: LimitState,
    perSecond: number | undefined,
    at: number,
  ): LimitChange | undefined {
    if (perSecond === undefined) {
      if (limit.endedAt !== undefined || at < limit.advertisedAt + END_DELAY_MS) return undefined;
      limit.endedAt = at;
      return 'ended';
    }
    if (at <= limit.advertisedAt) return undefined;
    // The report predates the end of the limit and comes from a VM that does not know of the end
    // yet.
    if (limit.endedAt !== undefined && at <= limit.endedAt - END_DELAY_MS) return undefined;
    const isUnchanged = perSecond === limit.perSecond && limit.endedAt === undefined;
    limit.perSecond = perSecond;
    limit.advertisedAt = at;
    limit.endedAt = undefined;
    return isUnchanged ? 'confirmed' : 'named';
  }

  /** @internal */
  private static toReports(limit: LimitState, now: number): LimitReport[] {
    const { target, perSecond, advertisedAt, endedAt } = limit;
    const advertised = { ...target, perSecond, ageMs: Math.round(now - advertisedAt) };
    if (endedAt === undefined) return [advertised];
    return [advertised, { ...target, perSecond: undefined, ageMs: Math.round(now - endedAt) }];
  }
}
