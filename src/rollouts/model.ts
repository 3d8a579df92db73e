import type { ServiceName, StorePosition } from '../core/model/index.js';

/** State of a rollout in the store; the last two are final. */
export type RolloutState = 'running' | 'completed' | 'rolledBack';

/** An operator's order to move a service's requests to targets of another version. */
export interface RolloutOrder {
  /**
   * Distinguishes the order from earlier ones for the same service. An order that operators write
   * again after the store has lost it keeps its id.
   */
  readonly id: string;
  /** Id by the stored object; undefined unless the order was written again and has another `id`. */
  readonly storedId?: string;
  /** Name of the stored order. */
  readonly name: string;
  readonly service: ServiceName;
  /** Version to move to. */
  readonly version: string;
  /** Time from the order to its deadline, in milliseconds. */
  readonly durationMs: number;
  /**
   * Position of the last change of the stored order; the store accepts a state only under the
   * current revision.
   */
  readonly position: StorePosition;
  /** Undefined until a state has been written for this order. */
  readonly state: RolloutState | undefined;
  /** Whether the store has lost the final state and has to be told again. */
  readonly isStateLost?: boolean;
}

/**
 * Progress of a rollout.
 *
 * - `trial`: a small share of requests goes to a few targets of the new version.
 * - `moving`: a larger share of requests goes to an equally large part of the new targets.
 * - `moved`: all requests go to new targets; requests still at old targets finish there.
 * - `stopped`: no more requests go to new targets; this is final.
 */
export type RolloutPhase = 'trial' | 'moving' | 'moved' | 'stopped';

/** Phases in the order of progress; `stopped` takes precedence over all others. */
export const ROLLOUT_PHASES: readonly RolloutPhase[] = ['trial', 'moving', 'moved', 'stopped'];

/** A coordinator's instruction to entry VMs for one rollout order. */
export interface RolloutGuidance {
  readonly phase: RolloutPhase;
  /** Share of requests that go to the new version, from 0 to 1. */
  readonly share: number;
  /** Shares of the routes that differ from `share`, by route name. */
  readonly routeShares?: Readonly<Record<string, number>>;
}

/** Number of answers, and how many of them failed or took too long. */
export interface AnswerCounts {
  readonly answers: number;
  readonly bad: number;
}

/**
 * Answers that an entry VM received during a rollout order, by group of targets and route. A key is
 * the group (`old`, or `new` followed by a number), a space and the route.
 */
export type EvidenceCounts = Readonly<Record<string, AnswerCounts>>;

/** An entry VM's report to the coordinators of an order. */
export interface RolloutReport {
  readonly order: string;
  readonly vm: string;
  /** Identifies this run of the VM's process; its counts start from zero. */
  readonly run: string;
  /** Increases with each report of a run, because datagrams may arrive out of order. */
  readonly sequence: number;
  /**
   * Time since the order was first seen, by any VM that this one has heard from, in milliseconds.
   */
  readonly ageMs: number;
  /** Phase that the VM currently applies. */
  readonly phase: RolloutPhase;
  /** Requests that the VM still has at old targets. */
  readonly oldRequests: number;
  /** Totals of this run. */
  readonly counts: EvidenceCounts;
}
