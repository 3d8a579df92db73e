import type { TargetId } from '../core/model/index.js';

/** One run of a target: what it named under the same id before it started anew does not count. */
export interface LimitedTarget {
  readonly target: TargetId;
  readonly bornAt: number;
}

/** What an answer of a target said of its limit. */
export interface LimitReport extends LimitedTarget {
  /** Requests a second that it takes from all entry VMs together; undefined if it named no limit. */
  readonly perSecond: number | undefined;
  /** Time since the answer, in milliseconds. */
  readonly ageMs: number;
}

/** Asks for a permit for one request to go to a limited target. */
export interface PermitAsk extends LimitedTarget {
  readonly kind: 'permitAsk';
  /** Number that the asking VM gave it. */
  readonly ask: number;
  /** What the asking VM knows, so that an issuer which has just started need not know anything. */
  readonly reports: readonly LimitReport[];
}

/** Answers a `PermitAsk`. */
export interface PermitAnswer extends LimitedTarget {
  readonly kind: 'permitAnswer';
  readonly ask: number;
  readonly isGranted: boolean;
  /** When to ask again if it is not granted, in milliseconds. */
  readonly waitMs: number;
  readonly reports: readonly LimitReport[];
}

/** Gives a permit back that was not used. */
export interface PermitReturn extends LimitedTarget {
  readonly kind: 'permitReturn';
}

/** Tells what targets said. */
export interface LimitNews {
  readonly kind: 'limitNews';
  readonly reports: readonly LimitReport[];
}

/** What VMs tell each other about limits. */
export type LimitMessage = PermitAsk | PermitAnswer | PermitReturn | LimitNews;

/**
 * Key of a target's run.
 * @param target - The target.
 */
export function getLimitKey({ target, bornAt }: LimitedTarget): string {
  return `${target}|${bornAt}`;
}
