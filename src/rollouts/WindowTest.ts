import type { EvidenceStep, VersionTest } from './VersionTest.js';

/** Answers of so long are compared, in milliseconds. */
const WINDOW_MS = 3_000;

/** Fewer answers of the new version than this say nothing. */
const LEAST_ANSWERS = 8;

/** Standard deviations between the two shares of bad answers that condemn a version. */
const CONDEMNED_AT = 4;

/** One ill target makes no bad version; see `CumulativeTest`. */
const MOST_OF_ONE_GROUP = 0.7;

/** Compares the shares of bad answers in a sliding window (two proportions, pooled variance). */
export class WindowTest implements VersionTest {
  /** @internal */
  private steps: { readonly at: number; readonly step: EvidenceStep }[] = [];

  take(step: EvidenceStep, now: number): void {
    this.steps.push({ at: now, step });
    this.steps = this.steps.filter(({ at }) => now - at < WINDOW_MS);
  }

  get isBad(): boolean {
    return this.suspicion >= 1;
  }

  get suspicion(): number {
    const old = { answers: 1, bad: 0 };
    const groups = new Map<string, number>();
    let answers = 0;
    let bad = 0;
    for (const { step } of this.steps) {
      old.answers += step.old.answers;
      old.bad += step.old.bad;
      for (const [group, counts] of step.new) {
        answers += counts.answers;
        bad += counts.bad;
        groups.set(group, (groups.get(group) ?? 0) + counts.bad);
      }
    }
    if (answers < LEAST_ANSWERS || bad === 0) return 0;
    if (Math.max(...groups.values()) > MOST_OF_ONE_GROUP * bad) return 0;
    const pooled = (old.bad + bad + 1) / (old.answers + answers + 2);
    const spread = Math.sqrt(pooled * (1 - pooled) * (1 / old.answers + 1 / answers));
    const distance = (bad / answers - old.bad / old.answers) / spread;
    return Math.min(1, Math.max(0, distance / CONDEMNED_AT));
  }
}
