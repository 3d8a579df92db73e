import type { Observation } from '../observations.js';
import type { CheckerContext, PromiseChecker } from './PromiseChecker.js';

/** An accepted configuration is in force everywhere by then, in milliseconds. */
export const IN_FORCE_LIMIT_MS = 10_000;

/** Planned stops, the configuration in force, and the calls to the store. */
export class FleetChecker implements PromiseChecker {
  /** @internal */
  private readonly inForce = new Map<string, number>();

  /** @internal */
  private readonly startedAt = new Map<string, number>();

  /** @internal */
  private readonly late = new Set<string>();

  /** @internal */
  private accepted = { generation: 0, at: 0 };

  /** @internal */
  private secondsSeen = 0;

  /** @param context - Where to look and report. */
  constructor(private readonly context: CheckerContext) {}

  see(observation: Observation, at: number): void {
    if (observation.kind === 'accepted') {
      const { generation } = observation.root;
      if (generation > this.accepted.generation) this.accepted = { generation, at };
    } else if (observation.kind === 'inForce') {
      this.seeInForce(observation.vm, observation.generation, at);
    } else if (observation.kind === 'life') {
      if (observation.change === 'started') this.startedAt.set(observation.vm, at);
      if (observation.change === 'exited') this.seeExit(observation.vm, at);
    }
  }

  check(at: number): void {
    this.checkInForce(at);
    this.checkStore(at);
  }

  /** @internal */
  private seeInForce(vm: string, generation: number, at: number): void {
    const before = this.inForce.get(vm) ?? 0;
    if (generation < before) {
      const detail = `${vm} went back from generation ${before} to ${generation}`;
      this.context.report('configuration', at, detail);
    }
    this.inForce.set(vm, generation);
  }

  /** @internal */
  private seeExit(id: string, at: number): void {
    const vm = this.context.fleet.vms.get(id);
    if (vm === undefined) return;
    const open = [...vm.requests.values()].map(({ asked }) => asked.uid);
    if (open.length === 0) return;
    this.context.report('planned-stops', at, `${id} exited with ${open.join(', ')} unanswered`);
  }

  /** @internal */
  private checkInForce(at: number): void {
    const { fleet, report } = this.context;
    for (const vm of fleet.current.values()) {
      const since = Math.max(this.accepted.at, fleet.troubleAt, this.startedAt.get(vm.id) ?? 0);
      const has = this.inForce.get(vm.id) ?? 0;
      const isLate = vm.life === 'running' && at > since + IN_FORCE_LIMIT_MS;
      const name = `${vm.id} ${this.accepted.generation}`;
      if (!isLate || has >= this.accepted.generation || this.late.has(name)) continue;
      this.late.add(name);
      const detail = `${vm.id} has generation ${has}, not ${this.accepted.generation}`;
      report('configuration', at, detail);
    }
  }

  /** @internal */
  private checkStore(at: number): void {
    const { fleet, report } = this.context;
    const { storeWritesPerSecond, storeReadsPerSecond } = fleet.budget;
    const { callsBySecond: seconds } = fleet.store;
    // The last second may still grow.
    for (; this.secondsSeen < seconds.length - 1; this.secondsSeen++) {
      const second = seconds[this.secondsSeen];
      if (second === undefined) return;
      if (second.writes > storeWritesPerSecond || second.reads > storeReadsPerSecond) {
        const detail = `store took ${second.writes} writes and ${second.reads} reads in a second`;
        report('measuring-budget', at, detail);
      }
    }
  }
}
