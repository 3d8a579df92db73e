import type { Observation } from '../observations.js';
import type { VirtualFleet } from '../VirtualFleet.js';
import { AnswersChecker } from './AnswersChecker.js';
import { FleetChecker } from './FleetChecker.js';
import { HolderChecker } from './HolderChecker.js';
import type { PromiseChecker, PromiseName, Violation } from './PromiseChecker.js';
import { TargetsChecker } from './TargetsChecker.js';

const CHECK_EVERY_MS = 250;

/** Holds all that is seen of a fleet against the promises, event by event. */
export class PromiseBoard {
  readonly violations: Violation[] = [];

  /** @internal */
  private checkers: readonly PromiseChecker[] = [];

  /**
   * Begins to watch a fleet; call it before the fleet starts.
   * @param fleet - The fleet, whose observations must go to `see`.
   */
  watch(fleet: VirtualFleet): void {
    const report = (promise: PromiseName, at: number, detail: string) => {
      this.violations.push({ promise, at, detail });
    };
    const context = { fleet, report };
    this.checkers = [
      new AnswersChecker(context),
      new TargetsChecker(context),
      new HolderChecker(context),
      new FleetChecker(context),
    ];
    this.checkLater(fleet);
  }

  /**
   * Takes one observation.
   * @param observation - What was seen.
   * @param at - When, in milliseconds of the proof's clock.
   */
  see(observation: Observation, at: number): void {
    for (const checker of this.checkers) checker.see?.(observation, at);
  }

  /** @internal */
  private checkLater(fleet: VirtualFleet): void {
    fleet.clock.after(CHECK_EVERY_MS, () => {
      for (const checker of this.checkers) checker.check?.(fleet.clock.now());
      this.checkLater(fleet);
    });
  }
}
