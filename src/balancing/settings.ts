import type { ZoneName } from '../core/model/index.js';
import type { CrashLedgerOptions } from '../crashes/index.js';
import type { ColdRateLimit } from './ColdAllowance.js';
import type { ExposureBound } from '../rollouts/index.js';
import type { QuotaBound } from '../quotas/index.js';
import type { RetryBudgetOptions } from './RetryBudget.js';

/** Limits that hold for all entry VMs together, from the settings file. */
export interface BalancingSettings {
  readonly vm: string;
  /** Availability zone of this VM. */
  readonly zone: ZoneName;
  readonly retries: RetryBudgetOptions;
  readonly cold: ColdRateLimit;
  /** Probes per second that one target may get from all entry VMs together. */
  readonly probesPerTargetAndSecond: number;
  /** How far quotas of organisations may be exceeded. */
  readonly quotas?: QuotaBound;
  /** Requests that a bad version may get; undefined where no rollouts are used. */
  readonly rollouts?: ExposureBound;
}

/**
 * Maximum age of a load reading that counts as fresh, in milliseconds. A slowdown lasts some 300
 * ms, but the number of running requests changes with each request that any entry VM sends.
 */
export const FRESH_READING_MAX_AGE_MS = 12;

/**
 * Maximum age of the readings used if no target answers probes, in milliseconds; readings of this
 * age still show which targets were healthy.
 */
export const OLD_READING_MAX_AGE_MS = 2_000;

/**
 * How long a request waits for the probes of one round, in milliseconds: several times the latency
 * of the network.
 */
export const PROBE_ROUND_TIMEOUT_MS = 15;

/** A target that has not answered a probe for this long counts as silent, in milliseconds. */
export const PROBE_TIMEOUT_MS = 300;

/**
 * Number of targets probed for one request in its first round, and in each later one. Under light
 * load the best of three targets is nearly always as good as an idle one, while each probe costs
 * money and occupies a connection.
 */
export const FIRST_ROUND_PROBES = 3;
export const LATER_ROUND_PROBES = 5;

/**
 * Number of targets that this VM prefers; the first rounds, as many as `PREFERRED_ROUND_COUNT`,
 * sample from these alone, later ones from all targets.
 */
export const PREFERRED_TARGET_COUNT = 8;
export const PREFERRED_ROUND_COUNT = 2;

/** Pause between two rounds for a request that found no free slot, in milliseconds. */
export const ROUND_PAUSE_MS = 25;

/**
 * How long a request waits before it may take a target's last slots, in milliseconds, provided that
 * it meets its objective there. Longer waiting would cost more probes than these slots are worth.
 */
export const LAST_SLOTS_MIN_WAIT_MS = 40;

/**
 * Share of the slots up to a target's best occupancy that late requests may occupy. The others are
 * reserved for requests that can still meet their objective.
 */
export const LATE_SLOT_SHARE = 0.5;

/**
 * How long a late request may wait for a target with spare slots before it is refused, in
 * milliseconds: two rounds of probes.
 *
 * Late requests that wait longer take slots from requests that can still meet their objective, and
 * most of them are refused anyway.
 */
export const LATE_MAX_WAIT_MS = 15;

/** The same while no target has answered; after this time an unanswered probe counts as silent. */
export const LATE_MAX_WAIT_UNPROBED_MS = PROBE_TIMEOUT_MS;

/**
 * Initial estimate of the share of a target's slots above which work takes longer, and of the
 * factor. `ServiceCurve` learns both from answers.
 */
export const INITIAL_KNEE_SHARE = 0.8;
export const INITIAL_KNEE_SLOWDOWN = 1.7;

/**
 * Initial estimate of the factor by which work takes longer at a cold target; learnt from answers.
 */
export const INITIAL_COLD_SLOWDOWN = 2;

/**
 * Initial estimate and maximum of the share of a slowdown that work meets which starts just after
 * the slowdown was read. The share is usually below 1, since the slow period may end before the
 * work does; work may also meet somewhat more than was read. It is learnt from answers.
 */
export const INITIAL_SLOWDOWN_WEIGHT = 0.65;
export const MAX_SLOWDOWN_WEIGHT = 1.2;

/** Slowdowns up to this one count as normal speed. */
export const MAX_NORMAL_SLOWDOWN = 1.3;

/** A target is healthy only if its share of failures is below this. */
export const MAX_HEALTHY_FAILURES = 0.1;

/** Lowest status code that counts as a failure of the target. */
export const MIN_FAILURE_STATUS = 500;

/** Cost of a failure to the caller, as a multiple of the route's objective. */
export const FAILURE_COST_OBJECTIVES = 2;

/** The same for a request that may not run twice: the caller gets an error instead of a retry. */
export const UNREPEATABLE_FAILURE_COST_OBJECTIVES = 10;

/**
 * A hedge starts when the first attempt has taken this many times its expected time, and at least
 * the minimum delay.
 */
export const HEDGE_DELAY_FACTOR = 1.8;
export const HEDGE_MIN_DELAY_MS = 30;

/**
 * A hedge is sent only if its expected cost, as a time, is below this share of the first attempt's
 * estimated remaining time, which is the longer of its expected time and the time taken so far.
 */
export const HEDGE_MAX_TIME_RATIO = 0.8;

/**
 * Share of the retry budget that hedges may use; the rest is reserved for retries after failures.
 */
export const HEDGE_BUDGET_SHARE = 0.6;

/** Initial estimate of a route's work time, as a share of its objective. */
export const INITIAL_WORK_SHARE = 0.37;

/**
 * Range of the backoff after a target accepts no connection, in milliseconds; it doubles each time.
 */
export const DEAD_MIN_MS = 400;
export const DEAD_MAX_MS = 3_000;

/**
 * Thresholds for requests that crash targets. With two crashes a sound request that ran beside two
 * in a row would be refused.
 */
export const CRASH_LEDGER_OPTIONS: CrashLedgerOptions = {
  minCrashesToRefuse: 3,
  suspicionTtlMs: 600_000,
  firstRefusalMs: 300_000,
};

/** How long requests are still accepted after a graceful shutdown began, in milliseconds. */
export const SHUTDOWN_ACCEPT_MS = 2_900;
