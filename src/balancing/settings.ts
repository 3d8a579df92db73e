import type { ZoneName } from '../core/model/index.js';
import type { ColdBound } from './ColdAllowance.js';
import type { ExposureBound } from '../rollouts/index.js';
import type { RetryBudgetOptions } from './RetryBudget.js';

/** Bounds that hold for all entry VMs together, from the settings file. */
export interface BalancingSettings {
  readonly vm: string;
  /** Availability zone of this VM. */
  readonly zone: ZoneName;
  readonly retries: RetryBudgetOptions;
  readonly cold: ColdBound;
  /** Probes a second that one target may get from all entry VMs together. */
  readonly probesPerTargetAndSecond: number;
  /** What a version that turns out to be bad may get; undefined where none is rolled out. */
  readonly rollouts?: ExposureBound;
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

/**
 * Targets probed for one request at first, and in each further round. Where load is calm one of
 * three is nearly always as good as idle; each probe is paid for, and takes a connection.
 */
export const FIRST_PROBES = 3;
export const FURTHER_PROBES = 5;

/** The first two rounds look among so many targets that this VM prefers, later ones among all. */
export const PREFERRED_TARGETS = 8;
export const PREFERRED_ROUNDS = 2;

/** Time between two rounds for one request that found no free slot, in milliseconds. */
export const ROUND_PAUSE_MS = 25;

/**
 * A request takes a target's last slots after it has waited so long for others, in milliseconds, if
 * it meets its objective there: to look on would cost more probes than the slots are worth.
 */
export const LAST_SLOTS_AFTER_MS = 40;

/**
 * Part of the slots on which work is not slowed down that requests which miss their objective anyway
 * may fill; the rest is kept for those that can still meet it.
 */
export const LATE_SLOT_SHARE = 0.5;

/**
 * A request that misses its objective anyway is refused if it has found no target with room to spare
 * after so long, in milliseconds: two rounds of probes.
 *
 * Held for long, such requests took slots that others needed who could still be in time, and most
 * were refused all the same.
 */
export const LATE_HOLD_MS = 15;

/** The same while no target has answered at all: by then a probe counts as silent, in milliseconds. */
export const LATE_UNHEARD_MS = PROBE_TIMEOUT_MS;

/**
 * First guess of the part of a target's slots beyond which work that starts there takes longer, and
 * how much. `ServiceCurve` learns what it is.
 */
export const KNEE_SHARE = 0.8;
export const KNEE_SLOWDOWN = 1.7;

/** First guess of how much longer work of a cold target takes; learnt as well. */
export const COLD_SLOWDOWN = 2;

/**
 * First guess of the part of a slowdown beyond the usual speed that work meets which starts just
 * after it was read: a spell may be over by then. Learnt as well; work may meet more than was read, but not much more.
 */
export const SLOWDOWN_WEIGHT = 0.65;
export const SLOWDOWN_WEIGHT_MOST = 1.2;

/** A slowdown up to this one is as good as none. */
export const GOOD_SLOWDOWN = 1.3;

/** First status by which a target says that it failed. */
export const FIRST_FAILURE = 500;

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
