import { drawLognormal } from '../standIns/models/index.js';
import type { Clock } from '../timing/index.js';
import type { LabPlan, RoutePlan } from './LabPlan.js';
import type { LabOrganisation } from './labOrganisations.js';
import { getOrganisationFactor, getTotalFactor, makeOrganisations } from './labOrganisations.js';
import type { LabRecord } from './LabRecord.js';
import type { TryResult } from './LabTry.js';
import type { LabVm } from './LabVm.js';
import { getDemandFactor, getZoneNames } from './labZones.js';
import type { QuotaTry } from './quotaWindows.js';

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
  /** Zone of the caller; undefined if the plan has no zones. */
  readonly zone?: string;
  /** Organisation of the caller; undefined if the plan has none. */
  readonly organisation?: LabOrganisation;
}

function getSurgeFactor({ surges }: LabPlan, { name }: RoutePlan, at: number): number {
  const surge = surges.find(
    ({ fromMs, untilMs, route = name }) => at >= fromMs && at < untilMs && route === name,
  );
  return surge?.factor ?? 1;
}

/** Picks an organisation with a probability proportional to its rate at a time. */
function drawOrganisation(
  organisations: readonly LabOrganisation[],
  { organisations: plan }: LabPlan,
  at: number,
  random: () => number,
): LabOrganisation | undefined {
  const weights = organisations.map((each) => each.share * getOrganisationFactor(plan, each, at));
  let left = random() * weights.reduce((total, weight) => total + weight, 0);
  return organisations.find((_, i) => {
    left -= weights[i];
    return left < 0;
  });
}

/**
 * Generates the arrivals of a plan: a Poisson process for each route and zone, with lognormal work.
 * @param plan - Supplies the routes, their rates and the surges.
 * @param random - Returns a uniform number in [0, 1).
 */
export function drawArrivals(plan: LabPlan, random: () => number): LabArrival[] {
  const arrivals: LabArrival[] = [];
  const zones = getZoneNames(plan);
  const organisations = makeOrganisations(plan);
  const getFactor = (route: RoutePlan, zone: number, at: number): number =>
    (getSurgeFactor(plan, route, at) *
      getDemandFactor(plan, zone, at) *
      getTotalFactor(plan, organisations, at)) /
    zones.length;
  const drawWork = ({ workMs, workSigma, longRequests }: RoutePlan): number => {
    const drawn = drawLognormal(random, workMs, workSigma);
    const isLong = longRequests !== undefined && random() < longRequests.share;
    return isLong ? drawn * longRequests.factor : drawn;
  };
  const drawRoute = (route: RoutePlan, zone: number): void => {
    let at = 0;
    while (at < plan.untilMs) {
      const ratePerMs = (route.perSecond * getFactor(route, zone, at)) / 1_000;
      at -= Math.log(1 - random()) / ratePerMs;
      const workMs = drawWork(route);
      const organisation = plan.organisations && drawOrganisation(organisations, plan, at, random);
      arrivals.push({ at, route, workMs, zone: plan.zones && zones[zone], organisation });
    }
  };
  for (const route of plan.routes) zones.forEach((_, zone) => drawRoute(route, zone));
  return arrivals.sort((a, b) => a.at - b.at);
}

/** Simulated callers: they retry after the advertised delay and give up when their time is over. */
export class LabCallers {
  readonly records: LabRecord[] = [];

  /** Tries of callers with an organisation, in the order of their start. */
  readonly quotaTries: QuotaTry[] = [];

  /** @param parts - Plan, clock, random source and VMs. */
  constructor(private readonly parts: LabCallersParts) {}

  /** Schedules all arrivals. */
  start(arrivals: readonly LabArrival[]): void {
    for (const arrival of arrivals) {
      this.parts.clock.after(arrival.at - this.parts.clock.now(), () => this.startRequest(arrival));
    }
  }

  /** @internal */
  private startRequest(arrival: LabArrival): void {
    const { at, route, zone, organisation } = arrival;
    const counts = { refusals: 0, runs: 0, heldMs: 0 };
    const record: LabRecord = {
      route,
      askedAt: at,
      ...counts,
      zone,
      organisation: organisation?.name,
    };
    this.records.push(record);
    this.sendTry(record, arrival, route.retries);
  }

  /** @internal */
  private sendTry(record: LabRecord, arrival: LabArrival, retriesLeft: number): void {
    const { clock, random, vms } = this.parts;
    const { workMs, zone, organisation } = arrival;
    const { route, askedAt } = record;
    const startedAt = clock.now();
    const leftMs = askedAt + route.allowedMs - startedAt;
    if (leftMs <= 0) return;
    const quotaTry = this.recordQuotaTry(organisation, startedAt);
    const onEnd = (end: TryResult): void => {
      const now = clock.now();
      if (end.kind === 'answered') {
        if (now <= askedAt + route.allowedMs) record.answeredAt = now;
        return;
      }
      if (end.kind === 'refused') {
        record.refusals += 1;
        if (quotaTry !== undefined) quotaTry.isOverQuota = end.reason === 'overQuota';
        record.heldMs += now - startedAt;
      }
      if (retriesLeft === 0 || (end.kind === 'failed' && !route.isIdempotent)) return;
      const maxWaitMs = (askedAt + route.allowedMs - now) * MAX_WAIT_SHARE;
      const waitMs = end.kind === 'refused' ? Math.min(end.retryAfterMs, maxWaitMs) : 0;
      clock.after(waitMs, () => this.sendTry(record, arrival, retriesLeft - 1));
    };
    const onRun = (): void => {
      record.runs += 1;
      // Only the first run counts: a hedge or a retry by the VM uses no second permit.
      if (quotaTry !== undefined) quotaTry.ranAt ??= clock.now();
    };
    const liveVms = vms.filter((each) => !each.isDown && (zone ?? each.zone) === each.zone);
    const vm = liveVms[Math.floor(random() * liveVms.length)];
    const path = `/${route.name}/x`;
    const keyDigest = organisation?.keyDigest;
    vm.startTry({ path, workMs, allowedMs: leftMs, keyDigest, onRun, onEnd });
  }

  /** @internal */
  private recordQuotaTry(
    organisation: LabOrganisation | undefined,
    startedAt: number,
  ): QuotaTry | undefined {
    if (organisation === undefined) return undefined;
    const quotaTry: QuotaTry = { organisation: organisation.name, startedAt, isOverQuota: false };
    this.quotaTries.push(quotaTry);
    return quotaTry;
  }
}
