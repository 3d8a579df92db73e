/**
 * Half-life of the counts, in milliseconds. At eight requests a second the level ends within two
 * seconds of the last late or refused request.
 */
const HALF_LIFE_MS = 800;

/** Requests in time that are added to the counts, so that a single failure raises nothing. */
const PRIOR_IN_TIME = 8;

/** Shares of late and refused requests at which the level is raised and ended. */
const RAISED_SHARE = 0.12;
const ENDED_SHARE = 0.04;

/** Whether requests of a service are late or refused. */
export type PressureLevel = 'normal' | 'raised';

/** A change of the level, for the log. */
export interface PressureChange {
  readonly level: PressureLevel;
  /** Share of late and refused requests. */
  readonly share: number;
  /** Requests that the share was computed from, with decay. */
  readonly requests: number;
  /** How long the previous level lasted, in milliseconds. */
  readonly previousMs: number;
}

/**
 * Judges from the ends of this VM's requests whether a service is overloaded. Responds to requests
 * that were late, refused or timed out, of any priority. The level is raised at a higher share than
 * it ends at, so that it does not alternate at a constant load.
 */
export class ServicePressure {
  /** @internal */
  private failed = 0;

  /** @internal */
  private ended = 0;

  /** @internal */
  private updatedAt: number;

  /** @internal */
  private level: PressureLevel = 'normal';

  /** @internal */
  private changedAt: number;

  /** @param now - Monotonic milliseconds. */
  constructor(now: number) {
    this.updatedAt = now;
    this.changedAt = now;
  }

  /**
   * Records how a request has ended.
   * @param isInTime - Whether it was answered within its objective.
   * @param now - Monotonic milliseconds.
   */
  recordEnd(isInTime: boolean, now: number): void {
    this.decay(now);
    this.ended += 1;
    if (!isInTime) this.failed += 1;
  }

  /**
   * Whether less urgent work is held back.
   * @param now - Monotonic milliseconds.
   */
  isRaised(now: number): boolean {
    const share = this.getShare(now);
    return share >= (this.level === 'raised' ? ENDED_SHARE : RAISED_SHARE);
  }

  /**
   * Updates the level; returns what to log if it has changed.
   * @param now - Monotonic milliseconds.
   */
  takeChange(now: number): PressureChange | undefined {
    const level = this.isRaised(now) ? 'raised' : 'normal';
    if (level === this.level) return undefined;
    const previousMs = now - this.changedAt;
    this.level = level;
    this.changedAt = now;
    return { level, share: this.getShare(now), requests: this.ended, previousMs };
  }

  /** @internal */
  private getShare(now: number): number {
    this.decay(now);
    return this.failed / (this.ended + PRIOR_IN_TIME);
  }

  /** @internal */
  private decay(now: number): void {
    const factor = 0.5 ** (Math.max(0, now - this.updatedAt) / HALF_LIFE_MS);
    this.failed *= factor;
    this.ended *= factor;
    this.updatedAt = now;
  }
}
