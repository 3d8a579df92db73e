import type { ServiceName } from '../core/model/index.js';

/** How a rollout stands by the store; the last two are final. */
export type RolloutState = 'running' | 'completed' | 'rolledBack';

/** An operator's order to move a service's requests to targets of another version. */
export interface RolloutOrder {
  /** Tells an order apart from earlier ones of the same service. */
  readonly id: string;
  /** Name of the stored order. */
  readonly name: string;
  readonly service: ServiceName;
  /** Version to move to. */
  readonly version: string;
  /** Time from the order to its limit, in milliseconds. */
  readonly durationMs: number;
  /** Revision of the stored order, under which its state may be written. */
  readonly revision: number;
  /** Undefined while no state was written for this order. */
  readonly state: RolloutState | undefined;
}

/**
 * How far a rollout has come.
 *
 * - `trial`: a small share of requests goes to a few targets of the new version.
 * - `moving`: a larger share does, to a part of the new targets that is as large.
 * - `moved`: all requests do; those that are still at old targets end there.
 * - `stopped`: none does, for good.
 */
export type RolloutPhase = 'trial' | 'moving' | 'moved' | 'stopped';

/** Phases in the order in which a good version goes through them. */
export const ROLLOUT_PHASES: readonly RolloutPhase[] = ['trial', 'moving', 'moved', 'stopped'];

/** What a coordinator tells entry VMs to do about an order. */
export interface RolloutGuidance {
  readonly phase: RolloutPhase;
  /** Share of requests that go to the new version, 0 to 1. */
  readonly share: number;
  /** The same for routes that differ from it, by their names. */
  readonly routeShares?: Readonly<Record<string, number>>;
}

/** Answers of one kind, and how many of them were failures or took too long. */
export interface AnswerCounts {
  readonly answers: number;
  readonly bad: number;
}

/**
 * Answers that an entry VM got while an order runs, by route and by a group of targets:
 * `old`, or `new` followed by a number drawn from the target's id.
 */
export type EvidenceCounts = Readonly<Record<string, AnswerCounts>>;

/** What an entry VM tells coordinators about an order. */
export interface RolloutReport {
  readonly order: string;
  readonly vm: string;
  /** Names this run of the VM's process: its counts start anew with each. */
  readonly run: string;
  /** Grows with each report of a run; datagrams may arrive in another order. */
  readonly sequence: number;
  /** Time since the order was first seen by any VM that this one heard of, in milliseconds. */
  readonly ageMs: number;
  /** Phase that the VM goes by now. */
  readonly phase: RolloutPhase;
  /** Requests that the VM has at old targets. */
  readonly oldRequests: number;
  /** Totals of this run. */
  readonly counts: EvidenceCounts;
}
