import { drawLognormal } from '../standIns/models/index.js';
import type { Clock } from '../timing/index.js';
import type { LabPlan, RoutePlan } from './LabPlan.js';
import type { LabRecord } from './LabRecord.js';
import type { LabVm, TryEnd } from './LabVm.js';

/** Callers wait no longer than this part of the time that is left to them. */
const MOST_WAIT_SHARE = 1 / 3;

/** Where callers send a request, and what they get back. */
export interface LabCallersParts {
  readonly plan: LabPlan;
  readonly clock: Clock;
  readonly random: () => number;
  readonly vms: readonly LabVm[];
}

/** One request as it is drawn, the same whatever the decisions are. */
export interface LabArrival {
  readonly at: number;
  readonly route: RoutePlan;
  readonly workMs: number;
}

function getFactor({ surges }: LabPlan, at: number): number {
  const surge = surges.find(({ fromMs, untilMs }) => at >= fromMs && at < untilMs);
  return surge?.factor ?? 1;
}

/**
 * Draws a plan's arrivals: a Poisson stream for each route, with lognormal work.
 * @param plan - What is drawn.
 * @param random - Uniform in [0, 1).
 */
export function drawArrivals(plan: LabPlan, random: () => number): LabArrival[] {
  const arrivals: LabArrival[] = [];
  for (const route of plan.routes) {
    let at = 0;
    while (at < plan.untilMs) {
      const ratePerMs = (route.perSecond * getFactor(plan, at)) / 1_000;
      at -= Math.log(1 - random()) / ratePerMs;
      arrivals.push({ at, route, workMs: drawLognormal(random, route.workMs, route.workSigma) });
    }
  }
  return arrivals.sort((a, b) => a.at - b.at);
}

/** Callers that come back as they are told, and give up when their time is over. */
export class LabCallers {
  readonly records: LabRecord[] = [];

  /** @param parts - Where they send requests. */
  constructor(private readonly parts: LabCallersParts) {}

  /** Plans all arrivals. */
  start(arrivals: readonly LabArrival[]): void {
    for (const arrival of arrivals) {
      this.parts.clock.after(arrival.at - this.parts.clock.now(), () => this.begin(arrival));
    }
  }

  /** @internal */
  private begin({ at, route, workMs }: LabArrival): void {
    const record: LabRecord = { route, askedAt: at, refusals: 0, runs: 0, heldMs: 0 };
    this.records.push(record);
    this.ask(record, workMs, route.retries);
  }

  /** @internal */
  private ask(record: LabRecord, workMs: number, retriesLeft: number): void {
    const { clock, random, vms } = this.parts;
    const { route, askedAt } = record;
    const startedAt = clock.now();
    const leftMs = askedAt + route.allowedMs - startedAt;
    if (leftMs <= 0) return;
    const onEnd = (end: TryEnd): void => {
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
      const mostMs = (askedAt + route.allowedMs - now) * MOST_WAIT_SHARE;
      const waitMs = end.kind === 'refused' ? Math.min(end.retryAfterMs, mostMs) : 0;
      clock.after(waitMs, () => this.ask(record, workMs, retriesLeft - 1));
    };
    const onRun = (): void => {
      record.runs += 1;
    };
    const up = vms.filter(({ isDown }) => !isDown);
    const vm = up[Math.floor(random() * up.length)];
    vm.ask({ path: `/${route.name}/x`, workMs, allowedMs: leftMs, onRun, onEnd });
  }
}
