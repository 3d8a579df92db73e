import type { AnswerCounts, EvidenceCounts } from './model.js';

/**
 * Number of groups that new targets are divided into, which bounds the size of a VM's report. The
 * few targets of a trial each have a group of their own.
 */
const TARGET_GROUP_COUNT = 6;

/**
 * Number of routes that a VM reports separately; answers of further routes are counted together.
 */
const MAX_ROUTES = 5;

const OTHER_ROUTES = '*';

/** The route and the group of targets that a count belongs to. */
export interface EvidenceKey {
  readonly route: string;
  /** Group of the new target; undefined for old targets. */
  readonly group: string | undefined;
}

/**
 * Parses the key of a count.
 * @param key - Key of `EvidenceCounts`.
 */
export function parseEvidenceKey(key: string): EvidenceKey {
  const end = key.indexOf(' ');
  const group = key.slice(0, end);
  return { route: key.slice(end + 1), group: group === 'old' ? undefined : group };
}

/** Counts the answers that this process receives during one rollout order. */
export class VersionEvidence {
  /** @internal */
  private readonly counts = new Map<string, { answers: number; bad: number }>();

  /** @internal */
  private readonly routes = new Set<string>();

  /**
   * Counts one answer.
   * @param route - Route of the request.
   * @param newTargetIndex - Index of the target among the new ones; undefined for an old target.
   * @param isBad - Whether the answer failed or takes far longer than expected of any target.
   */
  recordAnswer(route: string, newTargetIndex: number | undefined, isBad: boolean): void {
    if (this.routes.size < MAX_ROUTES) this.routes.add(route);
    const name = this.routes.has(route) ? route : OTHER_ROUTES;
    const group =
      newTargetIndex === undefined ? 'old' : `new${newTargetIndex % TARGET_GROUP_COUNT}`;
    const key = `${group} ${name}`;
    const known = this.counts.get(key) ?? { answers: 0, bad: 0 };
    known.answers += 1;
    if (isBad) known.bad += 1;
    this.counts.set(key, known);
  }

  /** Totals so far, as a copy that later answers do not change. */
  get totals(): EvidenceCounts {
    return Object.fromEntries([...this.counts].map(([key, count]) => [key, { ...count }]));
  }

  /** Totals of old and of new targets, over all routes. */
  get versionTotals(): Readonly<Record<'old' | 'new', AnswerCounts>> {
    const versionTotals = { old: { answers: 0, bad: 0 }, new: { answers: 0, bad: 0 } };
    for (const [key, { answers, bad }] of this.counts) {
      const total = versionTotals[parseEvidenceKey(key).group === undefined ? 'old' : 'new'];
      total.answers += answers;
      total.bad += bad;
    }
    return versionTotals;
  }
}
