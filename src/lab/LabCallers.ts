import { drawLognormal } from '../standIns/models/index.js';
import type { Clock } from '../timing/index.js';
import type { LabPlan, RoutePlan } from './LabPlan.js';
import type { LabRecord } from './LabRecord.js';
import type { LabVm, TryResult } from './LabVm.js';

/** Upper bound of a caller's retry delay, as a share of its remaining time. */
const MAX_WAIT_SHARE = 1 / 3;

/** Dependencies of {@link LabCallers}. */
export interface LabCallersParts {
  readonly plan: LabPlan;
  readonly clock: Clock;
  readonly random: () => number;
  readonly vms: readonly LabVm[];
}

/** One generated request; it doesn't depend on any balancing decision. */
export interface LabArrival {
  readonly at: number;
  readonly route: RoutePlan;
  readonly workMs: number;
}

function getSurgeFactor({ surges }: LabPlan, at: number): number {
  const surge = surges.find(({ fromMs, untilMs }) => at >= fromMs && at < untilMs);
  return surge?.factor ?? 1;
}

/**
 * Generates the arrivals of a plan: a Poisson process for each route, with lognormal work.
 * @param plan - Supplies the routes, their rates and the surges.
 * @param random - Returns a uniform number in [0, 1).
 */
export function drawArrivals(plan: LabPlan, random: () => number): LabArrival[] {
  const arrivals: LabArrival[] = [];
  for (const route of plan.routes) {
    let at = 0;
    while (at < plan.untilMs) {
      const ratePerMs = (route.perSecond * getSurgeFactor(plan, at)) / 1_000;
      at -= Math.log(1 - random()) / ratePerMs;
      arrivals.push({ at, route, workMs: drawLognormal(random, route.workMs, route.workSigma) });
    }
  }
  return arrivals.sort((a, b) => a.at - b.at);
}

/** Simulated callers: they retry after the advertised delay and give up when their time is over. */
export class LabCallers {
  readonly records: LabRecord[] = [];

  /** @param parts - Plan, clock, random source and VMs. */
  constructor(private readonly parts: LabCallersParts) {}

  /** Schedules all arrivals. */
  start(arrivals: readonly LabArrival[]): void {
    for (const arrival of arrivals) {
      this.parts.clock.after(arrival.at - this.parts.clock.now(), () => this.startRequest(arrival));
    }
  }

  /** @internal */
  private startRequest({ at, route, workMs }: LabArrival): void {
    const record: LabRecord = { route, askedAt: at, refusals: 0, runs: 0, heldMs: 0 };
    this.records.push(record);
    this.sendTry(record, workMs, route.retries);
  }

  /** @internal */
  private sendTry(record: LabRecord, workMs: number, retriesLeft: number): void {
    const { clock, random, vms } = this.parts;
    const { route, askedAt } = record;
    const startedAt = clock.now();
    const leftMs = askedAt + route.allowedMs - startedAt;
    if (leftMs <= 0) return;
    const onEnd = (end: TryResult): void => {
      const now = clock.now();
      if (end.kind === 'answered') {
        if (now <= askedAt + route.allowedMs) record.answeredAt = now;
        return;
      }
      if (end.kind === 'refused') {
        record.refusals += 1;
        record.heldMs += now - startedAt;
      }
      if (retriesLeft === 0 || (end.kind === 'failed' && !route.isIdempotent)) return;
      const maxWaitMs = (askedAt + route.allowedMs - now) * MAX_WAIT_SHARE;
      const waitMs = end.kind === 'refused' ? Math.min(end.retryAfterMs, maxWaitMs) : 0;
      clock.after(waitMs, () => this.sendTry(record, workMs, retriesLeft - 1));
    };
    const onRun = (): void => {
      record.runs += 1;
    };
    const liveVms = vms.filter(({ isDown }) => !isDown);
    const vm = liveVms[Math.floor(random() * liveVms.length)];
    vm.startTry({ path: `/${route.name}/x`, workMs, allowedMs: leftMs, onRun, onEnd });
  }
}
