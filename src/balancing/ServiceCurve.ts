import {
  INITIAL_COLD_SLOWDOWN,
  INITIAL_KNEE_SHARE,
  INITIAL_KNEE_SLOWDOWN,
  INITIAL_SLOWDOWN_WEIGHT,
  MAX_SLOWDOWN_WEIGHT,
} from './settings.js';

/**
 * Number of occupancy levels; each slot of a target with six slots falls into a level of its own.
 */
const LEVEL_COUNT = 8;

/**
 * Minimum relative step by which one answer moves a level; the first answers move it by more. With
 * this step, 20 answers that are all slower or all faster move a level by about half.
 */
const LEVEL_MIN_STEP = 0.02;
const LEVEL_INITIAL_STEP = 0.3;

/** Upper bound of a level: work is assumed to take at most this many times as long as when idle. */
const MAX_LEVEL = 6;

/** Weight of one answer in the moving averages: the last 14 answers make up half of the average. */
const AVERAGE_WEIGHT = 0.05;

/**
 * Ratio of the observed to the estimated cold slowdown, either way, beyond which answers are
 * clipped.
 */
const MAX_DEVIATION_FACTOR = 2;

const MAX_COLD_SLOWDOWN = 6;

/**
 * An occupancy counts as best if its throughput is at least this share of the maximum. The levels
 * are off by about as much, and of two occupancies with equal throughput the lower one answers
 * sooner.
 */
const NEAR_MAX_SHARE = 0.95;

/** Minimum slowdown in a reading for which an answer is used to learn `slowdownWeight`. */
const MIN_SAMPLED_SLOWDOWN = 1.5;

/** Load of a target at the time when an attempt was sent. */
export interface LoadSnapshot {
  /** Slots that are occupied, including the one of this request. */
  readonly occupied: number;
  readonly slots: number;
  /** How many times as long work takes on the target's VM, as read; 1 is normal. */
  readonly slowdown: number;
  readonly isCold: boolean;
  /** Requests in the target's queue ahead of this one. */
  readonly queuedAhead: number;
}

/** Initial estimate of when targets slow down under load, and by how much. */
export interface InitialSlowdown {
  /** Share of the slots above which work that starts takes longer. */
  readonly kneeShare: number;
  readonly kneeSlowdown: number;
}

const DEFAULT_INITIAL_SLOWDOWN: InitialSlowdown = {
  kneeShare: INITIAL_KNEE_SHARE,
  kneeSlowdown: INITIAL_KNEE_SLOWDOWN,
};

/** What has been learnt about a service's targets, for metrics and the log. */
export interface SlowdownEstimates {
  /** Factors by which work takes longer, by occupancy level; the lowest occupancy first. */
  readonly levels: readonly number[];
  readonly slowdownWeight: number;
  readonly coldSlowdown: number;
  readonly answers: number;
}

/**
 * Best occupancies are cached by steps of a tenth of the slack; a larger slack counts as the
 * maximum.
 */
const SLACK_STEPS = 10;
const MAX_SLACK = 20;

/**
 * Standard deviation of the logarithm of work times within one route. It is a guess for unknown
 * services: half or twice as much changes the best occupancy by one slot at the most.
 */
const WORK_LOG_DEVIATION = 0.3;

/** Scale with which a logistic distribution approximates a normal one. */
const LOGISTIC_SCALE = 1.7;

/** Returns the share of requests that take less than `slack` times their expected time. */
function getOnTimeShare(slack: number): number {
  return 1 / (1 + slack ** (-LOGISTIC_SCALE / WORK_LOG_DEVIATION));
}

/** Factor by which an estimate has to change to be reported again. */
const REPORTED_CHANGE_FACTOR = 1.3;

function hasChangedMuch(value: number, reported: number): boolean {
  const floor = 0.05;
  const ratio = Math.max(floor, value) / Math.max(floor, reported);
  return ratio > REPORTED_CHANGE_FACTOR || ratio < 1 / REPORTED_CHANGE_FACTOR;
}

function getLevelIndex(occupied: number, slots: number): number {
  return Math.min(LEVEL_COUNT, Math.max(1, Math.ceil((occupied / slots) * LEVEL_COUNT))) - 1;
}

function clamp(value: number, lower: number, upper: number): number {
  return Math.min(upper, Math.max(lower, value));
}

/**
 * Learns from answers how much longer work takes at a service's targets when they are full, slow or
 * cold.
 *
 * Targets differ: some slow down from half of their slots on, some never. With the figures of other
 * targets, the former would be filled until all answers are late, and a third of the latter would
 * stay idle. Initial estimates hold until answers show otherwise.
 *
 * Each occupancy level follows the median of the observed ratios: an answer moves it by one small
 * step, however far off the answer is. A few wrong answers, such as those of a target that is
 * slower than it reports or answers that were corrupted on the way, therefore move it only a
 * little.
 */
export class ServiceCurve {
  /** @internal */
  private readonly levels: number[];

  /** Number of answers by level. @internal */
  private readonly answersByLevel = new Array<number>(LEVEL_COUNT).fill(0);

  /** Best occupancies by slots and slack; cleared when a level changes. @internal */
  private readonly bestOccupancies = new Map<number, number>();

  /** @internal */
  private slowdownWeight = INITIAL_SLOWDOWN_WEIGHT;

  /** @internal */
  private coldSlowdown = INITIAL_COLD_SLOWDOWN;

  /** What `takeChange` returned last. @internal */
  private lastReported: SlowdownEstimates;

  /** Number of answers that the curve has learnt from. */
  answers = 0;

  /** @param initial - Estimate that holds until answers have been recorded. */
  constructor({ kneeShare, kneeSlowdown }: InitialSlowdown = DEFAULT_INITIAL_SLOWDOWN) {
    this.levels = Array.from({ length: LEVEL_COUNT }, (_, i) =>
      (i + 1) / LEVEL_COUNT > kneeShare ? kneeSlowdown : 1,
    );
    this.lastReported = this.estimates;
  }

  /**
   * Returns the factor by which work takes longer at an occupancy.
   * @param occupied - Occupied slots, including the one of the request.
   * @param slots - Slots of the target.
   */
  getLoadFactor(occupied: number, slots: number): number {
    let factor = 1;
    for (let level = getLevelIndex(occupied, slots); level >= 0; level--) {
      factor = Math.max(factor, this.levels[level]);
    }
    return factor;
  }

  /**
   * Returns the factor by which work takes longer at a slowdown that was read.
   * @param slowdown - As read; 1 is normal.
   */
  getSlowdownFactor(slowdown: number): number {
    return Math.max(0.5, 1 + (slowdown - 1) * this.slowdownWeight);
  }

  /** Returns the factor by which work takes longer at a cold target. */
  getColdFactor(): number {
    return this.coldSlowdown;
  }

  /**
   * Returns the number of occupied slots with which a target completes nearly the most work in
   * time. Above it, each request takes longer and more of them are late, which outweighs the
   * additional slot.
   * @param slots - Slots of the target.
   * @param slack - Time allowed for the answer, as a multiple of the request's work time.
   */
  getBestOccupancy(slots: number, slack: number): number {
    const key =
      slots * SLACK_STEPS * MAX_SLACK + Math.round(Math.min(MAX_SLACK, slack) * SLACK_STEPS);
    let best = this.bestOccupancies.get(key);
    if (best === undefined) {
      best = this.computeBestOccupancy(slots, slack);
      this.bestOccupancies.set(key, best);
    }
    return best;
  }

  /** @internal */
  private computeBestOccupancy(slots: number, slack: number): number {
    const throughputs = Array.from({ length: slots }, (_, i) => {
      const loadFactor = this.getLoadFactor(i + 1, slots);
      return ((i + 1) / loadFactor) * getOnTimeShare(slack / loadFactor);
    });
    const maxThroughput = Math.max(...throughputs);
    return 1 + throughputs.findIndex((each) => each >= maxThroughput * NEAR_MAX_SHARE);
  }

  /**
   * Learns from an answer.
   * @param load - Load of the target when the request was sent.
   * @param ratio - Observed time as a multiple of the request's estimated work time.
   */
  recordAnswer(load: LoadSnapshot, ratio: number): void {
    const { occupied, slots, slowdown, isCold, queuedAhead } = load;
    // Time in a queue says nothing about the work itself.
    if (queuedAhead > 0 || occupied > slots) return;
    this.answers += 1;
    const loadFactor = this.getLoadFactor(occupied, slots);
    if (isCold) this.updateColdSlowdown(ratio / loadFactor / this.getSlowdownFactor(slowdown));
    else if (slowdown >= MIN_SAMPLED_SLOWDOWN) this.updateWeight(ratio / loadFactor, slowdown);
    else this.updateLevel(getLevelIndex(occupied, slots), ratio / this.getSlowdownFactor(slowdown));
  }

  /** Current estimates. */
  get estimates(): SlowdownEstimates {
    const { levels, slowdownWeight, coldSlowdown, answers } = this;
    return { levels: [...levels], slowdownWeight, coldSlowdown, answers };
  }

  /** Returns the current estimates if they have changed considerably since the last report. */
  takeChange(): SlowdownEstimates | undefined {
    const { lastReported, estimates } = this;
    const hasChanged =
      estimates.levels.some((level, i) => hasChangedMuch(level, lastReported.levels[i])) ||
      hasChangedMuch(estimates.slowdownWeight, lastReported.slowdownWeight) ||
      hasChangedMuch(estimates.coldSlowdown, lastReported.coldSlowdown);
    if (!hasChanged) return undefined;
    this.lastReported = estimates;
    return estimates;
  }

  /** @internal */
  private updateColdSlowdown(ratio: number): void {
    const bounded = clamp(
      ratio,
      this.coldSlowdown / MAX_DEVIATION_FACTOR,
      this.coldSlowdown * MAX_DEVIATION_FACTOR,
    );
    this.coldSlowdown += AVERAGE_WEIGHT * (bounded - this.coldSlowdown);
    this.coldSlowdown = clamp(this.coldSlowdown, 1, MAX_COLD_SLOWDOWN);
  }

  /** @internal */
  private updateWeight(ratio: number, slowdown: number): void {
    const weight = clamp((ratio - 1) / (slowdown - 1), 0, MAX_SLOWDOWN_WEIGHT);
    this.slowdownWeight += AVERAGE_WEIGHT * (weight - this.slowdownWeight);
  }

  /** The emptiest level is what the others are measured by. @internal */
  private updateLevel(level: number, ratio: number): void {
    this.answersByLevel[level] += 1;
    const step = Math.max(LEVEL_MIN_STEP, LEVEL_INITIAL_STEP / this.answersByLevel[level]);
    const adjusted = this.levels[level] * (ratio > this.levels[level] ? 1 + step : 1 / (1 + step));
    this.levels[level] = clamp(adjusted, 1, MAX_LEVEL);
    this.bestOccupancies.clear();
  }
}
