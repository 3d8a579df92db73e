/** Answers that came since the last look, of one route or of all. */
export interface EvidenceStep {
  /** Answers of old targets. */
  readonly old: { readonly answers: number; readonly bad: number };
  /** Answers of new targets, by group. */
  readonly new: ReadonlyMap<string, { readonly answers: number; readonly bad: number }>;
}

/** Decides from answers of old and new targets in the same seconds whether a version is bad. */
export interface VersionTest {
  /**
   * Takes what came since the last look.
   * @param step - The answers.
   * @param now - Monotonic milliseconds.
   */
  take(step: EvidenceStep, now: number): void;
  /** Whether the new version is worse than the old one beyond doubt. */
  readonly isBad: boolean;
  /** How much speaks against the new version: 0 is nothing, 1 condemns it. */
  readonly suspicion: number;
}
