import type { EvidenceDelta, VersionTest } from './VersionTest.js';

/** Half-life of the baseline counts of old targets, in milliseconds. */
const HALF_LIFE_MS = 2_000;

/**
 * The baseline keeps at least this many answers, because old targets give no more answers once all
 * requests have moved.
 */
const MIN_KEPT_ANSWERS = 60;

/**
 * Prior of the baseline: bad answers, and answers, assumed before any were counted. Old targets
 * fail at times too.
 */
const PRIOR_BAD = 1;
const PRIOR_ANSWERS = 20;

const MIN_BASELINE_SHARE = 0.02;
const MAX_BASELINE_SHARE = 0.6;

/**
 * Share of the old version's good answers that a bad version is assumed to fail or to give too
 * late.
 */
const BAD_VERSION_EXCESS = 0.3;

/** Log-likelihood ratio at which a version is found to be bad. */
const DECISION_THRESHOLD = 12;

/**
 * Largest share of the bad answers that may come from one group of targets. A larger share
 * indicates a single faulty target, which can occur with any version.
 */
const MAX_SHARE_OF_ONE_GROUP = 0.7;

/**
 * Sums log-likelihood ratios and resets the sum whenever it favours the new version (CUSUM).
 *
 * A version may turn bad after minutes of good answers, so good answers must not outweigh later bad
 * ones. The baseline comes from old targets during the same period, because a burst or a failing
 * zone affects both versions alike.
 */
export class CumulativeTest implements VersionTest {
  /** @internal */
  private baseline = { answers: 0, bad: 0, at: 0 };

  /** @internal */
  private score = 0;

  /** Bad answers since the score was last reset, by group. @internal */
  private readonly badByGroup = new Map<string, number>();

  add({ old, new: groups }: EvidenceDelta, now: number): void {
    this.updateBaseline(old, now);
    const baselineShare = this.getBaselineShare();
    const badVersionShare = baselineShare + BAD_VERSION_EXCESS * (1 - baselineShare);
    const badWeight = Math.log(badVersionShare / baselineShare);
    const goodWeight = Math.log((1 - badVersionShare) / (1 - baselineShare));
    for (const [group, { answers, bad }] of groups) {
      this.score += bad * badWeight + (answers - bad) * goodWeight;
      if (bad > 0) this.badByGroup.set(group, (this.badByGroup.get(group) ?? 0) + bad);
    }
    if (this.score > 0) return;
    this.score = 0;
    this.badByGroup.clear();
  }

  get isBad(): boolean {
    return this.score >= DECISION_THRESHOLD && this.isAcrossGroups;
  }

  get suspicion(): number {
    return Math.min(1, this.score / DECISION_THRESHOLD);
  }

  /** @internal */
  private get isAcrossGroups(): boolean {
    const counts = [...this.badByGroup.values()];
    const total = counts.reduce((sum, each) => sum + each, 0);
    return Math.max(...counts) <= MAX_SHARE_OF_ONE_GROUP * total;
  }

  /** @internal */
  private updateBaseline({ answers, bad }: EvidenceDelta['old'], now: number): void {
    const decay = 0.5 ** (Math.max(0, now - this.baseline.at) / HALF_LIFE_MS);
    const minDecay = Math.min(1, MIN_KEPT_ANSWERS / Math.max(1, this.baseline.answers));
    const factor = Math.max(decay, minDecay);
    this.baseline = {
      answers: this.baseline.answers * factor + answers,
      bad: this.baseline.bad * factor + bad,
      at: now,
    };
  }

  /** @internal */
  private getBaselineShare(): number {
    const share = (this.baseline.bad + PRIOR_BAD) / (this.baseline.answers + PRIOR_ANSWERS);
    return Math.min(MAX_BASELINE_SHARE, Math.max(MIN_BASELINE_SHARE, share));
  }
}
