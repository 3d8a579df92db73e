import type { RoutingTable, TargetRegistration } from '../balancing/index.js';
import { VirtualClock } from '../proof/VirtualClock.js';
import { createRandom } from '../standIns/models/index.js';
import { drawArrivals, LabCallers } from './LabCallers.js';
import type { LabPlan } from './LabPlan.js';
import type { LimitArrival, LimitChange, LimitWindow } from './limitWindows.js';
import { findWorstWindows } from './limitWindows.js';
import type { PauseRequest } from './statementChecks.js';
import { findBrokenPauses, findLateArrivals } from './statementChecks.js';
import type { LabRecord, LabScore } from './LabRecord.js';
import { scoreLab } from './LabRecord.js';
import { LabTarget } from './LabTarget.js';
import { LAB_HOST, LabVm } from './LabVm.js';
import { listOrganisations } from './labOrganisations.js';
import { getZoneName } from './labZones.js';
import { playCeiling } from './playCeiling.js';
import type { DemandSummary } from './summarizeDemand.js';
import { describeQuotaExcess, summarizeDemand } from './summarizeDemand.js';

/** Result of one run. */
export interface LabResult extends DemandSummary {
  readonly score: LabScore;
  /** Score of an omniscient scheduler with the same arrivals. */
  readonly ceiling: LabScore;
  readonly records: readonly LabRecord[];
  readonly vms: readonly LabVm[];
  /** Probes per request. */
  readonly probes: number;
  /** Attempts sent to targets per request. */
  readonly sendings: number;
  /** Worst window of each target that advertised a limit. */
  readonly limits: readonly LimitWindow[];
  /** Requests that reached limited targets, as a share of what their limits allowed. */
  readonly limitUse: number;
  /** Number of rejections that asked for a pause. */
  readonly pauses: number;
  /** Descriptions of violated bounds; empty if all held. */
  readonly broken: readonly string[];
}

function makeTable(plan: LabPlan): RoutingTable {
  return {
    version: 1,
    routes: plan.routes.map((route, i) => ({
      name: route.name,
      host: LAB_HOST,
      pathPrefix: `/${route.name}/`,
      isIdempotent: route.isIdempotent,
      objectiveMs: route.objectiveMs,
      priority: route.priority ?? i,
      services: [{ service: route.service, weight: 1 }],
      timeoutMs: route.timeoutMs,
      maxTargets: 2,
    })),
    services: plan.targets.map(({ service }) => ({
      name: service,
      healthPath: '/health',
      maxConnections: 260,
      coldRequestsPerSecond: 10,
    })),
    limits: { bodyBytes: 1_000_000, headerTimeoutMs: 3_000, idleTimeoutMs: 15_000 },
    organisations: listOrganisations(plan),
  };
}

function makeRegistrations(plan: LabPlan): TargetRegistration[] {
  return plan.targets.flatMap(({ service, count, slots }, s) =>
    Array.from({ length: count }, (_, i) => ({
      id: `${service}-${i + 1}`,
      service,
      address: `10.0.${s}.${i + 1}:8080`,
      zone: getZoneName(plan, i),
      version: 'v1',
      bornAt: 1,
      slots,
      isDraining: false,
      coldMs: 0,
    })),
  );
}

function findViolations(
  records: readonly LabRecord[],
  probesPerTarget: number,
  maxProbes: number,
): string[] {
  const broken: string[] = [];
  const repeatedCount = records.filter(({ route, runs }) => !route.isIdempotent && runs > 1).length;
  if (repeatedCount > 0) broken.push(`${repeatedCount} non-idempotent requests ran more than once`);
  if (probesPerTarget > maxProbes) {
    broken.push(
      `${probesPerTarget.toFixed(1)} probes per target and second exceed the maximum of ${maxProbes}`,
    );
  }
  return broken;
}

/** Delay, in ms, until half of the VMs learn of an outage or its end; the others aren't told. */
const OUTAGE_DETECTION_MS = 2_400;

/** Time after an outage in which a VM's requests aren't checked against limits, in milliseconds. */
const OUTAGE_GRACE_MS = 3_000;

/** Schedules the plan's VM outages; returns the periods in which a VM's requests aren't checked. */
function scheduleOutages(
  plan: LabPlan,
  entries: readonly TargetRegistration[],
  vms: readonly LabVm[],
  names: readonly string[],
  clock: VirtualClock,
): { readonly vm: string; readonly from: number; readonly until: number }[] {
  for (const { vm, fromMs, untilMs } of plan.down) {
    const others = vms.filter((_, i) => i !== vm && i % 2 === 0);
    const updateOthers = (list: readonly string[]): void =>
      others.forEach((each) => each.updateLiveVms(list));
    clock.after(fromMs, () => vms[vm].kill());
    clock.after(fromMs + OUTAGE_DETECTION_MS, () =>
      updateOthers(names.filter((name) => name !== names[vm])),
    );
    clock.after(untilMs, () => {
      vms[vm].isDown = false;
      vms[vm].configure(makeTable(plan), entries, names);
    });
    clock.after(untilMs + OUTAGE_DETECTION_MS, () => updateOthers(names));
  }
  return plan.down.map(({ vm, fromMs, untilMs }) => ({
    vm: names[vm],
    from: fromMs,
    until: untilMs + OUTAGE_GRACE_MS,
  }));
}

function describeExcess({ target, at, got, allowed }: LimitWindow): string {
  const seconds = (at / 1_000).toFixed(1);
  return `${target} got ${got} requests in the 4 s before ${seconds} s, but its limit allows ${allowed}`;
}

/** Returns the ids of the first targets of a service, or of all. */
function getFirstIds(
  { service, count }: { readonly service: string; readonly count?: number },
  entries: readonly TargetRegistration[],
): string[] {
  return entries
    .filter((each) => each.service === service)
    .slice(0, count)
    .map(({ id }) => id);
}

/** Schedules the plan's rejections, and the shutdowns that answers state. */
function scheduleTargetFaults(
  plan: LabPlan,
  entries: readonly TargetRegistration[],
  targets: ReadonlyMap<string, LabTarget>,
  clock: VirtualClock,
): void {
  for (const period of plan.rejecting) {
    const set = (share: number, pauseMs: number | undefined): void =>
      getFirstIds(period, entries).forEach((id) => {
        const target = targets.get(id) as LabTarget;
        target.rejectShare = share;
        target.pauseMs = pauseMs;
      });
    clock.after(period.fromMs, () => set(period.share, period.pauseMs));
    clock.after(period.untilMs, () => set(0, undefined));
  }
  for (const drain of plan.draining) {
    clock.after(drain.fromMs, () =>
      getFirstIds(drain, entries).forEach((id) => {
        (targets.get(id) as LabTarget).isDraining = true;
      }),
    );
  }
}

/** Schedules the plan's limits; returns a list of limit changes that grows during the run. */
function scheduleLimits(
  plan: LabPlan,
  entries: readonly TargetRegistration[],
  targets: ReadonlyMap<string, LabTarget>,
  clock: VirtualClock,
): readonly LimitChange[] {
  const limitChanges: LimitChange[] = [];
  const set = (id: string, perSecond: number | undefined, share = 1): void => {
    const target = targets.get(id) as LabTarget;
    target.limitPerSecond = perSecond;
    target.limitShare = share;
    limitChanges.push({ target: id, perSecond, at: clock.now() });
  };
  for (const limiting of plan.limiting) {
    const { fromMs, untilMs, perSecond, share } = limiting;
    const limited = getFirstIds(limiting, entries);
    clock.after(fromMs, () => limited.forEach((id) => set(id, perSecond, share)));
    const endsHere = !plan.limiting.some((each) => each.fromMs === untilMs);
    if (endsHere) clock.after(untilMs, () => limited.forEach((id) => set(id, undefined)));
  }
  return limitChanges;
}

/** Time that VMs have to apply a limit before its use is measured, in milliseconds. */
const LIMIT_SETTLE_MS = 3_000;

function getLimitUse(
  plan: LabPlan,
  entries: readonly TargetRegistration[],
  arrivals: readonly LimitArrival[],
): number {
  let receivedCount = 0;
  let allowedCount = 0;
  for (const limiting of plan.limiting) {
    const limited = new Set(getFirstIds(limiting, entries));
    const fromMs = limiting.fromMs + LIMIT_SETTLE_MS;
    const untilMs = Math.min(limiting.untilMs, plan.untilMs);
    receivedCount += arrivals.filter(
      ({ target, at }) => limited.has(target) && at >= fromMs && at < untilMs,
    ).length;
    allowedCount += (limited.size * limiting.perSecond * Math.max(0, untilMs - fromMs)) / 1_000;
  }
  return allowedCount === 0 ? 0 : receivedCount / allowedCount;
}

function createTargets(
  plan: LabPlan,
  entries: readonly TargetRegistration[],
  clock: VirtualClock,
  random: () => number,
): ReadonlyMap<string, LabTarget> {
  const planOf = new Map(plan.targets.map((each) => [each.service, each]));
  return new Map(
    entries.map(({ id, service, zone }) => [
      id,
      new LabTarget(planOf.get(service) as LabPlan['targets'][number], clock, random, zone),
    ]),
  );
}

/**
 * Simulates a deployment in virtual time with the production balancing logic on every VM, and the
 * same arrivals with an omniscient scheduler.
 * @param plan - Deployment, load and faults.
 * @param seed - Seed of the random numbers; `seed + 1` is used too.
 * @example
 * const { score, ceiling } = playLab(makePlan(), 1);
 */
export function playLab(plan: LabPlan, seed: number): LabResult {
  const clock = new VirtualClock();
  const arrivals = drawArrivals(plan, createRandom(seed));
  const random = createRandom(seed + 1);
  const entries = makeRegistrations(plan);
  const targets = createTargets(plan, entries, clock, random);
  const names = Array.from({ length: plan.vms }, (_, i) => `vm-${i + 1}`);
  const arrived: LimitArrival[] = [];
  const forwardedLimits: LimitArrival[] = [];
  const pauses: PauseRequest[] = [];
  const drainsReceived: LimitArrival[] = [];
  const peers = new Map<string, LabVm>();
  const vms = names.map(
    (name, i) =>
      new LabVm({
        name,
        zone: getZoneName(plan, i),
        plan,
        clock,
        random,
        targets,
        peers,
        onArrival: (arrival) => arrived.push(arrival),
        onLimitForwarded: (each) => forwardedLimits.push(each),
        onPauseRequested: (each) => pauses.push(each),
        onDrainReceived: (each) => drainsReceived.push(each),
      }),
  );
  vms.forEach((vm, i) => peers.set(names[i], vm));
  for (const vm of vms) vm.configure(makeTable(plan), entries, names);
  const excused = scheduleOutages(plan, entries, vms, names, clock);
  scheduleTargetFaults(plan, entries, targets, clock);
  const limitChanges = scheduleLimits(plan, entries, targets, clock);
  const callers = new LabCallers({ plan, clock, random, vms });
  callers.start(arrivals);
  const endsAt = plan.untilMs + Math.max(...plan.routes.map(({ allowedMs }) => allowedMs));
  clock.runUntil(endsAt);
  const { records } = callers;
  const probes = vms.reduce((sum, vm) => sum + vm.probes, 0);
  const sent = vms.reduce((sum, vm) => sum + vm.sent, 0);
  const limits = findWorstWindows({
    arrivals: arrived,
    limitChanges,
    forwardedLimits,
    excused,
  });
  const demand = summarizeDemand(plan, callers, vms, endsAt);
  const stated = { arrivals: arrived, pauses, drainsReceived, excused };
  return {
    score: scoreLab(records),
    ceiling: scoreLab(playCeiling(plan, arrivals, createRandom(seed + 1))),
    records,
    vms,
    probes: probes / records.length,
    sendings: sent / records.length,
    limits,
    limitUse: getLimitUse(plan, entries, arrived),
    pauses: pauses.length,
    ...demand,
    broken: [
      ...findViolations(records, (probes / entries.length / endsAt) * 1_000, plan.probesPerSecond),
      ...limits.filter(({ got, allowed }) => got > allowed).map(describeExcess),
      ...demand.quotas.filter(({ got, allowed }) => got > allowed).map(describeQuotaExcess),
      ...findBrokenPauses(stated),
      ...findLateArrivals(stated),
    ],
  };
}
