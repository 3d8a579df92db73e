import type { Guards } from '../../core/index.js';
import { makeMachines, makeServiceConfig, makeZones } from '../deployments.js';
import type { Observation } from '../observations.js';
import type { Violation } from '../promises/index.js';
import { PromiseBoard } from '../promises/index.js';
import type { StepPoint } from '../VirtualFleet.js';
import { VirtualFleet } from '../VirtualFleet.js';
import type { VirtualVm } from '../VirtualVm.js';
import type { FaultName } from './faults.js';
import { FAULTS } from './faults.js';
import { Plot, PLOT_END_MS, QUIET_FROM_MS } from './Plot.js';

/** Where a fault strikes: at a step, or while the process is paused after its effect. */
export type StrikePoint = StepPoint | 'duringPause';

/** A fault that strikes at a step of a protocol. */
export interface Strike {
  readonly fault: FaultName;
  readonly step: string;
  readonly point: StrikePoint;
  /** Which time that the step is reached, counted from 1. */
  readonly occurrence: number;
}

/** A fault that strikes at a time. */
export interface TimedStrike {
  readonly fault: FaultName;
  readonly atMs: number;
  /** Number of the machine whose process it strikes. */
  readonly machine: number;
}

/** One life of a small fleet with its faults. */
export interface MatrixCase {
  readonly seed: number;
  readonly machines: number;
  readonly strikes: readonly Strike[];
  readonly timed: readonly TimedStrike[];
  /** Weaker functions in the place of guards. */
  readonly guards?: Partial<Guards>;
}

/** What was seen of a case. */
export interface CaseOutcome {
  readonly violations: readonly Violation[];
  /** Strikes whose step was reached. */
  readonly struck: number;
  /** How often each step's point was reached: `step|point`. */
  readonly reached: ReadonlyMap<string, number>;
}

const PAUSE_MS = 4_500;
const STRIKE_IN_PAUSE_MS = 500;

/** Share of good answers that a fleet must reach again once all faults are over. */
const RECOVERED_SHARE = 0.95;

const SHAPES = [
  { name: 'reads', targets: 4, slots: 2, maxConnections: 200, probeCostMs: 1 },
  { name: 'payments', targets: 4, slots: 6, maxConnections: 250, probeCostMs: 6 },
];

/** A line that a process logged. */
export interface LogLine {
  readonly kind: 'log';
  readonly vm: string;
  readonly text: string;
}

/** Hears all that is seen of a case, and what its processes log. */
export type Trace = (at: number, seen: Observation | LogLine) => void;

/** Runs one case: the plot of a small fleet, with its faults striking at their steps. */
class CaseRun {
  readonly reached = new Map<string, number>();

  readonly board = new PromiseBoard();

  struck = 0;

  /** @internal */
  private readonly fleet: VirtualFleet;

  /** @internal */
  private readonly plot: Plot;

  constructor(
    private readonly matrixCase: MatrixCase,
    trace?: Trace,
  ) {
    const zones = makeZones(2);
    this.fleet = new VirtualFleet({
      seed: matrixCase.seed,
      machines: makeMachines(matrixCase.machines, zones),
      zones,
      services: SHAPES.map((shape) => makeServiceConfig(shape, zones)),
      network: { hopMs: 1, zoneHopMs: 0.2, clientHopMs: 1, jitterShare: 0.5 },
      settings: {},
      targets: { startsCold: true },
      copiesMessages: true,
      vmListLagMs: 2_000,
      pushesFirst: false,
      clockRates: [1, 1.002, 0.998, 1.001, 0.999],
      observe: (observation, at) => {
        this.board.see(observation, at);
        trace?.(at, observation);
      },
      onLog: (vm, { part, level, text }) =>
        trace?.(this.fleet.clock.now(), { kind: 'log', vm, text: `${level} ${part}: ${text}` }),
      onStep: (point, vm, step) => this.atStep(point, vm, step),
      onCreate: (vm) => Object.assign(vm.state, { guards: this.getGuards(vm) }),
    });
    this.board.watch(this.fleet);
    this.plot = new Plot(this.fleet);
  }

  run(): CaseOutcome {
    this.plot.begin();
    for (const timed of this.matrixCase.timed) {
      this.fleet.clock.after(timed.atMs, () => {
        const vm = [...this.fleet.current.values()][timed.machine];
        if (vm !== undefined && vm.life !== 'ended') this.strike(timed.fault, vm);
      });
    }
    this.fleet.clock.runUntil(PLOT_END_MS);
    return {
      violations: [...this.board.violations, ...this.checkRecovery()],
      struck: this.struck,
      reached: this.reached,
    };
  }

  /** @internal */
  private getGuards(vm: VirtualVm): Guards {
    return { ...vm.state.guards, ...this.matrixCase.guards };
  }

  /** @internal */
  private atStep(point: StepPoint, vm: VirtualVm, step: string): void {
    const name = `${step}|${point}`;
    const count = (this.reached.get(name) ?? 0) + 1;
    this.reached.set(name, count);
    for (const strike of this.matrixCase.strikes) {
      const at = strike.point === 'duringPause' ? 'afterEffect' : strike.point;
      if (strike.step !== step || at !== point || strike.occurrence !== count) continue;
      if (strike.point === 'duringPause') this.strikeInPause(strike.fault, vm);
      else this.strike(strike.fault, vm);
    }
  }

  /** @internal */
  private strike(fault: FaultName, vm: VirtualVm): void {
    if (this.fleet.clock.now() >= QUIET_FROM_MS) return;
    this.struck += 1;
    FAULTS[fault]({ fleet: this.fleet, plot: this.plot, vm });
  }

  /** @internal */
  private strikeInPause(fault: FaultName, vm: VirtualVm): void {
    if (this.fleet.clock.now() >= QUIET_FROM_MS - PAUSE_MS) return;
    this.fleet.pause(vm, PAUSE_MS);
    this.fleet.clock.after(STRIKE_IN_PAUSE_MS, () => this.strike(fault, vm));
  }

  /** @internal */
  private checkRecovery(): Violation[] {
    const { requests, good } = this.plot.recovered;
    if (requests > 0 && good / requests >= RECOVERED_SHARE) return [];
    const detail = `${good} of ${requests} requests were served well after all faults`;
    return [{ promise: 'recovery', at: PLOT_END_MS, detail }];
  }
}

/**
 * Runs one case and tells which promises were broken.
 * @param matrixCase - The case; the same one always comes out the same.
 * @param trace - Hears what is seen meanwhile.
 * @example
 * const { violations } = runCase({ seed: 1, machines: 3, strikes: [], timed: [] });
 */
export function runCase(matrixCase: MatrixCase, trace?: Trace): CaseOutcome {
  return new CaseRun(matrixCase, trace).run();
}
