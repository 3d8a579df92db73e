import type { AnswerCounts, EvidenceCounts } from './model.js';

/**
 * New targets are told apart by so many groups, which bounds what a VM reports; those of a trial, the
 * first few, each have one of their own.
 */
const TARGET_GROUPS = 6;

/** Routes that a VM reports apart; answers of further ones are counted together. */
const MOST_ROUTES = 5;

const OTHER_ROUTES = '*';

/** Which answers a count is of. */
export interface EvidenceKey {
  readonly route: string;
  /** Group of the new target; undefined for old targets. */
  readonly group: string | undefined;
}

/**
 * Takes a count's key apart.
 * @param key - Key of `EvidenceCounts`.
 */
export function parseEvidenceKey(key: string): EvidenceKey {
  const end = key.indexOf(' ');
  const group = key.slice(0, end);
  return { route: key.slice(end + 1), group: group === 'old' ? undefined : group };
}

/** Counts the answers that this process got while one order runs. */
export class VersionEvidence {
  /** @internal */
  private readonly counts = new Map<string, { answers: number; bad: number }>();

  /** @internal */
  private readonly routes = new Set<string>();

  /**
   * Counts one answer.
   * @param route - Route of the request.
   * @param newTarget - Place of the target among the new ones; undefined if it is an old one.
   * @param isBad - Whether it failed, or takes far longer than expected of any target.
   */
  note(route: string, newTarget: number | undefined, isBad: boolean): void {
    if (this.routes.size < MOST_ROUTES) this.routes.add(route);
    const name = this.routes.has(route) ? route : OTHER_ROUTES;
    const group = newTarget === undefined ? 'old' : `new${newTarget % TARGET_GROUPS}`;
    const key = `${group} ${name}`;
    const known = this.counts.get(key) ?? { answers: 0, bad: 0 };
    known.answers += 1;
    if (isBad) known.bad += 1;
    this.counts.set(key, known);
  }

  /** Totals so far; later answers don't change what was given. */
  get totals(): EvidenceCounts {
    return Object.fromEntries([...this.counts].map(([key, count]) => [key, { ...count }]));
  }

  /** Totals of old and of new targets. */
  get sums(): Readonly<Record<'old' | 'new', AnswerCounts>> {
    const sums = { old: { answers: 0, bad: 0 }, new: { answers: 0, bad: 0 } };
    for (const [key, { answers, bad }] of this.counts) {
      const sum = sums[parseEvidenceKey(key).group === undefined ? 'old' : 'new'];
      sum.answers += answers;
      sum.bad += bad;
    }
    return sums;
  }
}
