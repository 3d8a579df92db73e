import type { EvidenceDelta, VersionTest } from './VersionTest.js';

/** Length of the sliding window, in milliseconds. */
const WINDOW_MS = 3_000;

/** Minimum number of answers of the new version for a comparison. */
const MIN_NEW_ANSWERS = 8;

/**
 * Difference between the two shares of bad answers at which a version is found to be bad, in
 * standard deviations.
 */
const DECISION_THRESHOLD = 4;

/** A single faulty target does not make a version bad; see `CumulativeTest`. */
const MAX_SHARE_OF_ONE_GROUP = 0.7;

/**
 * Compares the shares of bad answers within a sliding window (two-proportion z-test, pooled
 * variance).
 */
export class WindowTest implements VersionTest {
  /** @internal */
  private deltas: { readonly at: number; readonly delta: EvidenceDelta }[] = [];

  add(delta: EvidenceDelta, now: number): void {
    this.deltas.push({ at: now, delta });
    this.deltas = this.deltas.filter(({ at }) => now - at < WINDOW_MS);
  }

  get isBad(): boolean {
    return this.suspicion >= 1;
  }

  get suspicion(): number {
    const old = { answers: 1, bad: 0 };
    const badByGroup = new Map<string, number>();
    let answers = 0;
    let bad = 0;
    for (const { delta } of this.deltas) {
      old.answers += delta.old.answers;
      old.bad += delta.old.bad;
      for (const [group, counts] of delta.new) {
        answers += counts.answers;
        bad += counts.bad;
        badByGroup.set(group, (badByGroup.get(group) ?? 0) + counts.bad);
      }
    }
    if (answers < MIN_NEW_ANSWERS || bad === 0) return 0;
    if (Math.max(...badByGroup.values()) > MAX_SHARE_OF_ONE_GROUP * bad) return 0;
    const pooled = (old.bad + bad + 1) / (old.answers + answers + 2);
    const standardError = Math.sqrt(pooled * (1 - pooled) * (1 / old.answers + 1 / answers));
    const zScore = (bad / answers - old.bad / old.answers) / standardError;
    return Math.min(1, Math.max(0, zScore / DECISION_THRESHOLD));
  }
}
