import type { VirtualFleet } from '../VirtualFleet.js';
import type { Observation } from '../observations.js';

/** The promises of the brief, one that several of them rest on, and that service comes back. */
export type PromiseName =
  | 'measuring-budget'
  | 'cold-targets'
  | 'zone-out'
  | 'whole-answers'
  | 'not-run-is-true'
  | 'at-most-once'
  | 'leaving-targets'
  | 'planned-stops'
  | 'configuration'
  | 'one-holder'
  | 'recovery';

/** A promise that was broken, as seen from outside the cores. */
export interface Violation {
  readonly promise: PromiseName;
  /** Milliseconds of the proof's clock. */
  readonly at: number;
  readonly detail: string;
}

/** Takes a broken promise down. */
export type Report = (promise: PromiseName, at: number, detail: string) => void;

/** What a checker may look at besides what it is told. */
export interface CheckerContext {
  readonly fleet: VirtualFleet;
  readonly report: Report;
}

/** Holds what was seen against one promise. */
export interface PromiseChecker {
  /** Hears each observation in order. */
  see?(observation: Observation, at: number): void;
  /** Called now and then, for what shows by its absence. */
  check?(at: number): void;
}
