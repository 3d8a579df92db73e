import type { ColdBound } from './ColdAllowance.js';
import type { RetryBudgetOptions } from './RetryBudget.js';

/** Bounds that hold for all entry VMs together, from the settings file. */
export interface BalancingSettings {
  readonly vm: string;
  readonly retries: RetryBudgetOptions;
  readonly cold: ColdBound;
  /** Probes a second that one target may get from all entry VMs together. */
  readonly probesPerTargetAndSecond: number;
}

/**
 * A reading of a target's load is used for so long, in milliseconds. The slowdown holds for some
 * 300 ms; the count of running requests changes with each request that any entry VM sends.
 */
export const READING_FRESH_MS = 12;

/** Where no target answers probes, a reading of this age still says which one was sound, in ms. */
export const READING_USABLE_MS = 2_000;

/** How long probes of one round are waited for, in milliseconds: several times the way there. */
export const PROBE_ROUND_MS = 15;

/** A target that has not answered a probe for so long is taken for silent, in milliseconds. */
export const PROBE_TIMEOUT_MS = 300;

/** Targets probed for one request. */
export const PROBES_PER_ROUND = 5;

/** Time between two rounds for one request that found no free slot, in milliseconds. */
export const ROUND_PAUSE_MS = 25;

/** Part of its objective that a request waits for a free slot before it joins a target's queue. */
export const PATIENCE_SHARE = 0.08;

/** Part of a target's slots from which its work slows down, and how much. */
export const KNEE_SHARE = 0.8;
export const KNEE_SLOWDOWN = 1.7;

/** Work of a cold target takes this much longer. */
export const COLD_SLOWDOWN = 2;

/** How long a target's slowdown stays as it was read, in milliseconds. */
export const SLOWDOWN_SPELL_MS = 250;

/** What slowdown to expect once the present spell is over. */
export const USUAL_SLOWDOWN = 1.7;

/** A slowdown up to this one is as good as none. */
export const GOOD_SLOWDOWN = 1.3;

/** A failure costs the caller so many times its objective. */
export const FAILURE_COST_OBJECTIVES = 2;

/** A second sending starts when the first takes so many times as long as expected. */
export const HEDGE_AFTER = 1.8;
export const HEDGE_MIN_MS = 30;

/** A second sending is of use only if it is expected back in this part of the first one's time. */
export const HEDGE_GAIN = 0.8;

/** Part of the retry budget that hedges may use; the rest is kept for failures. */
export const HEDGE_BUDGET_SHARE = 0.6;

/** First guess of a route's work time, as a part of its objective. */
export const WORK_OF_OBJECTIVE = 0.37;

/** A target that accepts no connection is left alone for so long, doubled each time, in ms. */
export const DEAD_MS = 400;
export const DEAD_MOST_MS = 3_000;

/** After a planned stop began, requests are still taken for so long, in milliseconds. */
export const STOP_TAKES_MS = 2_900;
