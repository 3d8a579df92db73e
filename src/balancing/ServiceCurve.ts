import {
  COLD_SLOWDOWN,
  KNEE_SHARE,
  KNEE_SLOWDOWN,
  SLOWDOWN_WEIGHT,
  SLOWDOWN_WEIGHT_MOST,
} from './settings.js';

/** Occupancy is told apart in so many levels; a target with six slots has six of them. */
const LEVELS = 8;

/**
 * One answer moves a level by this part at the least, and by more while few are known: 20 answers
 * all on one side move it by half.
 */
const LEVEL_STEP = 0.02;
const LEVEL_FIRST_STEP = 0.3;

/** Most that a level's work is thought to take longer than an idle target's. */
const LEVEL_MOST = 6;

/** Weight of one answer in the moving averages: half of what is known comes from the last 14. */
const WEIGHT = 0.05;

/** One answer counts as no more than this factor off what was expected, either way. */
const MOST_FACTOR = 2;

const COLD_MOST = 6;

/**
 * Part of the most that a target can get done that is as good as the most. Levels are off by about as
 * much, and of two that do the same the emptier one answers sooner.
 */
const NEARLY_MOST = 0.95;

/** A slowdown that is read must be as large as this for an answer to tell what it is worth. */
const TELLING_SLOWDOWN = 1.5;

/** What was known of a target as a request was sent there. */
export interface SendingBasis {
  /** Requests that run there with this one. */
  readonly busy: number;
  readonly slots: number;
  /** How long work takes on its VM, as it was read; 1 is as usual. */
  readonly slowdown: number;
  readonly isCold: boolean;
  /** Requests that waited before it. */
  readonly ahead: number;
}

/** A guess of when targets slow down with load, and by how much. */
export interface CurveGuess {
  /** Part of the slots beyond which work that starts takes longer. */
  readonly kneeShare: number;
  readonly kneeSlowdown: number;
}

const FIRST_GUESS: CurveGuess = { kneeShare: KNEE_SHARE, kneeSlowdown: KNEE_SLOWDOWN };

/** What is learnt of a service's targets, for metrics and the log. */
export interface LearntCurve {
  /** How many times as long work takes by level of occupancy, the emptiest first. */
  readonly levels: readonly number[];
  readonly slowdownWeight: number;
  readonly coldSlowdown: number;
  readonly answers: number;
}

/** What is best is kept by steps of a tenth of the slack, and is the same beyond this slack. */
const SLACK_STEPS = 10;
const SLACK_MOST = 20;

/**
 * Standard deviation of the logarithm of work: requests of one route differ by so much. A guess for
 * services that nobody has looked at; half or twice as much moves what is best by one slot at the most.
 */
const WORK_SPREAD = 0.3;

/** By this factor a logistic curve is nearly a normal distribution's. */
const LOGISTIC = 1.7;

/** Share of requests that take less than so many times their expected time. */
function getInTimeShare(slack: number): number {
  return 1 / (1 + slack ** (-LOGISTIC / WORK_SPREAD));
}

/** Factor from which on a change of what is learnt is told. */
const NEWS_FACTOR = 1.3;

function isFarOff(value: number, told: number): boolean {
  const least = 0.05;
  const ratio = Math.max(least, value) / Math.max(least, told);
  return ratio > NEWS_FACTOR || ratio < 1 / NEWS_FACTOR;
}

function getLevel(busy: number, slots: number): number {
  return Math.min(LEVELS, Math.max(1, Math.ceil((busy / slots) * LEVELS))) - 1;
}

function clamp(value: number, least: number, most: number): number {
  return Math.min(most, Math.max(least, value));
}

/**
 * How much longer work takes at a service's targets when they are full, slow or cold, learnt from
 * answers.
 *
 * Targets differ: some slow down from half of their slots on, some never. Judged by the figures of
 * other targets, the first are filled until all is late, and of the second a third stands idle. A
 * first guess holds until answers tell otherwise.
 *
 * The work at a level of occupancy is followed by its median: each answer moves it by one small step,
 * however far off the answer is, so that a few wrong ones (a target that is slower than it says, an
 * answer that was spoilt on its way) cannot drag it far.
 */
export class ServiceCurve {
  /** @internal */
  private readonly levels: number[];

  /** Answers by level. @internal */
  private readonly counts = new Array<number>(LEVELS).fill(0);

  /** By slots, until a level changes. @internal */
  private readonly bestBusy = new Map<number, number>();

  /** @internal */
  private slowdownWeight = SLOWDOWN_WEIGHT;

  /** @internal */
  private coldSlowdown = COLD_SLOWDOWN;

  /** What `takeNews` gave last. @internal */
  private told: LearntCurve;

  /** Answers that it has learnt from. */
  answers = 0;

  /** @param guess - What is thought of targets that nothing is known of. */
  constructor({ kneeShare, kneeSlowdown }: CurveGuess = FIRST_GUESS) {
    this.levels = Array.from({ length: LEVELS }, (_, i) =>
      (i + 1) / LEVELS > kneeShare ? kneeSlowdown : 1,
    );
    this.told = this.learnt;
  }

  /**
   * How many times as long work takes that starts as one of so many.
   * @param busy - Requests that run there with it.
   * @param slots - Slots of the target.
   */
  getFactor(busy: number, slots: number): number {
    let factor = 1;
    for (let level = getLevel(busy, slots); level >= 0; level--) {
      factor = Math.max(factor, this.levels[level]);
    }
    return factor;
  }

  /**
   * How many times as long work takes where a slowdown was read.
   * @param slowdown - As it was read; 1 is as usual.
   */
  getSlowFactor(slowdown: number): number {
    return Math.max(0.5, 1 + (slowdown - 1) * this.slowdownWeight);
  }

  /** How many times as long work of a cold target takes. */
  getColdFactor(): number {
    return this.coldSlowdown;
  }

  /**
   * With how many requests at a time a target does nearly most in time. With more of them each takes
   * longer, so that more of them are late; what is gained by a further one is lost with the others.
   * @param slots - Slots of the target.
   * @param slack - Time within which an answer is wanted, over the work of the request.
   */
  getBestBusy(slots: number, slack: number): number {
    const key =
      slots * SLACK_STEPS * SLACK_MOST + Math.round(Math.min(SLACK_MOST, slack) * SLACK_STEPS);
    let best = this.bestBusy.get(key);
    if (best === undefined) {
      best = this.findBestBusy(slots, slack);
      this.bestBusy.set(key, best);
    }
    return best;
  }

  /** @internal */
  private findBestBusy(slots: number, slack: number): number {
    const done = Array.from({ length: slots }, (_, i) => {
      const factor = this.getFactor(i + 1, slots);
      return ((i + 1) / factor) * getInTimeShare(slack / factor);
    });
    const most = Math.max(...done);
    return 1 + done.findIndex((each) => each >= most * NEARLY_MOST);
  }

  /**
   * Learns from an answer.
   * @param basis - What was known as its request was sent.
   * @param ratio - Time taken over the work that the request was thought to be.
   */
  note(basis: SendingBasis, ratio: number): void {
    const { busy, slots, slowdown, isCold, ahead } = basis;
    // Time in a queue tells nothing of the work itself.
    if (ahead > 0 || busy > slots) return;
    this.answers += 1;
    const factor = this.getFactor(busy, slots);
    if (isCold) this.noteCold(ratio / factor / this.getSlowFactor(slowdown));
    else if (slowdown >= TELLING_SLOWDOWN) this.noteSlow(ratio / factor, slowdown);
    else this.noteLevel(getLevel(busy, slots), ratio / this.getSlowFactor(slowdown));
  }

  /** What is known now. */
  get learnt(): LearntCurve {
    const { levels, slowdownWeight, coldSlowdown, answers } = this;
    return { levels: [...levels], slowdownWeight, coldSlowdown, answers };
  }

  /** What is known now, if it has changed by much since this was last asked; else undefined. */
  takeNews(): LearntCurve | undefined {
    const { told, learnt } = this;
    const hasNews =
      learnt.levels.some((level, i) => isFarOff(level, told.levels[i])) ||
      isFarOff(learnt.slowdownWeight, told.slowdownWeight) ||
      isFarOff(learnt.coldSlowdown, told.coldSlowdown);
    if (!hasNews) return undefined;
    this.told = learnt;
    return learnt;
  }

  /** @internal */
  private noteCold(ratio: number): void {
    const bounded = clamp(ratio, this.coldSlowdown / MOST_FACTOR, this.coldSlowdown * MOST_FACTOR);
    this.coldSlowdown += WEIGHT * (bounded - this.coldSlowdown);
    this.coldSlowdown = clamp(this.coldSlowdown, 1, COLD_MOST);
  }

  /** @internal */
  private noteSlow(ratio: number, slowdown: number): void {
    const weight = clamp((ratio - 1) / (slowdown - 1), 0, SLOWDOWN_WEIGHT_MOST);
    this.slowdownWeight += WEIGHT * (weight - this.slowdownWeight);
  }

  /** The emptiest level is what the others are measured by. @internal */
  private noteLevel(level: number, ratio: number): void {
    this.counts[level] += 1;
    const step = Math.max(LEVEL_STEP, LEVEL_FIRST_STEP / this.counts[level]);
    const moved = this.levels[level] * (ratio > this.levels[level] ? 1 + step : 1 / (1 + step));
    this.levels[level] = clamp(moved, 1, LEVEL_MOST);
    this.bestBusy.clear();
  }
}
