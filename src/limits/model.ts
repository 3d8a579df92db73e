import type { TargetId } from '../core/model/index.js';

/**
 * One run of a target. A limit that the target advertised under the same id before a restart does
 * not apply.
 */
export interface LimitedTarget {
  readonly target: TargetId;
  readonly bornAt: number;
}

/** What a target's answer said about the target's limit. */
export interface LimitReport extends LimitedTarget {
  /**
   * Requests per second that the target accepts from all entry VMs together; undefined if the
   * answer advertised no limit.
   */
  readonly perSecond: number | undefined;
  /** Age of the answer, in milliseconds. */
  readonly ageMs: number;
}

/** Requests a permit to send one request to a limited target. */
export interface PermitAsk extends LimitedTarget {
  readonly kind: 'permitAsk';
  /** Id that the requesting VM gave the request. */
  readonly ask: number;
  /**
   * What the requesting VM knows of the limit, so that an issuer that has just started needs no
   * state.
   */
  readonly reports: readonly LimitReport[];
}

/** Answers a `PermitAsk`. */
export interface PermitAnswer extends LimitedTarget {
  readonly kind: 'permitAnswer';
  readonly ask: number;
  readonly isGranted: boolean;
  /** Time to wait before the next request if the permit is not granted, in milliseconds. */
  readonly waitMs: number;
  readonly reports: readonly LimitReport[];
}

/** Returns an unused permit to its issuer. */
export interface PermitReturn extends LimitedTarget {
  readonly kind: 'permitReturn';
}

/** Spreads what targets' answers said about their limits. */
export interface LimitNews {
  readonly kind: 'limitNews';
  readonly reports: readonly LimitReport[];
}

/** Messages about limits that VMs exchange. */
export type LimitMessage = PermitAsk | PermitAnswer | PermitReturn | LimitNews;

/**
 * Key that identifies a run of a target.
 * @param target - The target.
 */
export function getLimitKey({ target, bornAt }: LimitedTarget): string {
  return `${target}|${bornAt}`;
}
