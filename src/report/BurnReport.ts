import type { ObjectiveConfig, ServiceName, TargetId, ZoneName } from '../core/index.js';

import type { ServiceLevelOutcome } from './counters.js';
import type { Alarm } from './windows.js';

/**
 * Burn rates in one pair of windows. A rate of 1 exhausts the error budget exactly at the end of its
 * period.
 */
export interface WindowBurn {
  readonly pair: string;
  readonly threshold: number;
  readonly short: number;
  readonly long: number;
  readonly firing: boolean;
}

/** Burn of one service in one availability zone. */
export interface ZoneBurn {
  readonly zone: ZoneName;
  readonly requests: number;
  readonly bad: number;
  readonly windows: readonly WindowBurn[];
}

/** One group of bad requests that used up a part of the error budget. */
export interface BurnCause {
  readonly outcome: Exclude<ServiceLevelOutcome, 'good'>;
  readonly zone: ZoneName;
  /** Undefined if the requests are not attributed to a target. */
  readonly target?: TargetId;
  readonly requests: number;
  /** Share of all bad requests of the service, between 0 and 1. */
  readonly share: number;
}

/** Counts and burn rate of one interval of a plot. */
export interface BurnPoint {
  /** Start of the interval, milliseconds since 1970. */
  readonly at: number;
  readonly requests: number;
  readonly slow: number;
  readonly refused: number;
  readonly failed: number;
  readonly burn: number;
}

/** State of one service's error budget. */
export interface ServiceBurn {
  readonly service: ServiceName;
  readonly objective: ObjectiveConfig;
  /** Requests of the last 30 days, and how many of them were slow, refused or failed. */
  readonly requests: number;
  readonly bad: number;
  /** Share of the 30-day error budget that is left; negative if the budget is overspent. */
  readonly budgetLeft: number;
  readonly alarm: Alarm;
  readonly windows: readonly WindowBurn[];
  readonly zones: readonly ZoneBurn[];
  /** Causes in the last three days, the largest first. */
  readonly causes: readonly BurnCause[];
  /** The last hour, one point per minute. */
  readonly minutes: readonly BurnPoint[];
  /** The last three days, one point per hour. */
  readonly hours: readonly BurnPoint[];
}

/** Service-level burn of all services of a fleet. */
export interface BurnReport {
  readonly at: string;
  readonly generation: number;
  readonly services: readonly ServiceBurn[];
}
