/** Answers since the last call, of one route or of all routes. */
export interface EvidenceDelta {
  /** Answers of old targets. */
  readonly old: { readonly answers: number; readonly bad: number };
  /** Answers of new targets, by group. */
  readonly new: ReadonlyMap<string, { readonly answers: number; readonly bad: number }>;
}

/**
 * Tests whether a version is bad by comparing answers of old and new targets over the same period.
 */
export interface VersionTest {
  /**
   * Adds the answers since the last call.
   * @param delta - The answers.
   * @param now - Monotonic milliseconds.
   */
  add(delta: EvidenceDelta, now: number): void;
  /** Whether the evidence shows that the new version is worse than the old one. */
  readonly isBad: boolean;
  /**
   * Strength of the evidence against the new version, from 0 (none) to 1 (the decision threshold).
   */
  readonly suspicion: number;
}
