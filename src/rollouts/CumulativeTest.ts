import type { EvidenceStep, VersionTest } from './VersionTest.js';

/** Old targets' share of bad answers is forgotten by half in so long, in milliseconds. */
const FORGET_HALF_MS = 2_000;

/** So many of the last ones are kept: once all requests have moved, old targets answer no more. */
const KEPT_ANSWERS = 60;

/** Bad answers thought of before any came, and answers: old targets fail sometimes too. */
const PRIOR_BAD = 1;
const PRIOR_ANSWERS = 20;

const LEAST_BAD_SHARE = 0.02;
const MOST_BAD_SHARE = 0.6;

/** A bad version fails, or is slow with, so much of what an old one would have done well. */
const BAD_VERSION_EXCESS = 0.3;

/** Log-likelihood ratio that condemns a version. */
const CONDEMNED_AT = 12;

/**
 * Most of the bad answers that may come from one group of targets: more speak of an ill target, which
 * any version has at times.
 */
const MOST_OF_ONE_GROUP = 0.7;

/**
 * Sums up log-likelihood ratios and starts anew where they speak for the new version (CUSUM).
 *
 * Versions may turn bad after minutes of good answers, so that these must not outweigh what comes
 * next. Old targets are counted in the same seconds: a burst or a zone in trouble harms both alike.
 */
export class CumulativeTest implements VersionTest {
  /** @internal */
  private old = { answers: 0, bad: 0, at: 0 };

  /** @internal */
  private score = 0;

  /** Bad answers since the score was last 0, by group. @internal */
  private readonly badByGroup = new Map<string, number>();

  take({ old, new: groups }: EvidenceStep, now: number): void {
    this.noteOld(old, now);
    const usual = this.getUsualShare();
    const suspected = usual + BAD_VERSION_EXCESS * (1 - usual);
    const badWeight = Math.log(suspected / usual);
    const goodWeight = Math.log((1 - suspected) / (1 - usual));
    for (const [group, { answers, bad }] of groups) {
      this.score += bad * badWeight + (answers - bad) * goodWeight;
      if (bad > 0) this.badByGroup.set(group, (this.badByGroup.get(group) ?? 0) + bad);
    }
    if (this.score > 0) return;
    this.score = 0;
    this.badByGroup.clear();
  }

  get isBad(): boolean {
    return this.score >= CONDEMNED_AT && this.isSpread;
  }

  get suspicion(): number {
    return Math.min(1, this.score / CONDEMNED_AT);
  }

  /** @internal */
  private get isSpread(): boolean {
    const counts = [...this.badByGroup.values()];
    const total = counts.reduce((sum, each) => sum + each, 0);
    return Math.max(...counts) <= MOST_OF_ONE_GROUP * total;
  }

  /** @internal */
  private noteOld({ answers, bad }: EvidenceStep['old'], now: number): void {
    const forgotten = 0.5 ** (Math.max(0, now - this.old.at) / FORGET_HALF_MS);
    const least = Math.min(1, KEPT_ANSWERS / Math.max(1, this.old.answers));
    const kept = Math.max(forgotten, least);
    this.old = {
      answers: this.old.answers * kept + answers,
      bad: this.old.bad * kept + bad,
      at: now,
    };
  }

  /** @internal */
  private getUsualShare(): number {
    const share = (this.old.bad + PRIOR_BAD) / (this.old.answers + PRIOR_ANSWERS);
    return Math.min(MOST_BAD_SHARE, Math.max(LEAST_BAD_SHARE, share));
  }
}
