import type { ServiceRollout } from '../balancing/index.js';
import { getRouteShare, getStage, getTargetsInUse } from '../balancing/index.js';
import type { ExposureBound, RolloutState, VersionTest } from '../rollouts/index.js';
import { BaselineWorkTimes, RolloutCoordinator, VersionEvidence } from '../rollouts/index.js';
import { createRandom } from '../standIns/models/index.js';
import { VirtualClock } from '../proof/VirtualClock.js';
import type { RolloutPlan } from './RolloutPlan.js';

const COORDINATORS = 3;
const REPORT_INTERVAL_MS = 400;
const GUIDANCE_TTL_MS = 1_200;
/** Delay until all VMs know a written state, in milliseconds. */
const STATE_PROPAGATION_MS = 200;
/** A slow answer takes `SLOW_FACTOR` times its work; it counts as bad after `BAD_LATENCY_FACTOR`. */
const SLOW_FACTOR = 4;
const BAD_LATENCY_FACTOR = 1.8;
/** Time after the order during which new targets are cold, in milliseconds. */
const COLD_MS = 3_000;
/** The time allowed for a rollback starts at this number of bad answers from the new version. */
const BAD_ANSWER_THRESHOLD = 50;

/** Result of a simulated rollout. */
export interface RolloutResult {
  readonly state: RolloutState;
  /** Time of the state's write, in milliseconds after the order; infinite if it never was written. */
  readonly writtenAt: number;
  /** Requests to the new version and to both versions, within the ordered duration. */
  readonly exposed: number;
  readonly requests: number;
  /** Time from the 50th bad answer to the last request to the new version, in milliseconds. */
  readonly afterBadMs: number;
  /** Requests still running on old targets when all VMs learned of the completion. */
  readonly lost: number;
}

interface LabVersionTarget {
  readonly id: string;
  readonly isFaulty: boolean;
  running: number;
}

function makeTargets(plan: RolloutPlan, name: string, random: () => number): LabVersionTarget[] {
  return Array.from({ length: plan.targets }, (_, i) => ({
    id: `${name}-${i}`,
    isFaulty: random() < plan.faultyTargetShare,
    running: 0,
  }));
}

/** One simulated rollout with its VMs, targets and coordinators, in virtual time. */
class RolloutRun {
  /** @internal */
  private readonly clock = new VirtualClock();

  /** @internal */
  private readonly random: () => number;

  /** @internal */
  private readonly vms: ServiceRollout[];

  /** @internal */
  private readonly sequences: number[];

  /** Requests running on old targets, by VM. @internal */
  private readonly oldRequests: number[];

  /** @internal */
  private readonly coordinators: (RolloutCoordinator | undefined)[];

  /** @internal */
  private readonly oldTargets: readonly LabVersionTarget[];

  /** @internal */
  private readonly newTargets: readonly LabVersionTarget[];

  /** @internal */
  private result = {
    state: 'running' as RolloutState,
    writtenAt: Infinity,
    exposed: 0,
    requests: 0,
    afterBadMs: 0,
    lost: 0,
  };

  /** @internal */
  private bad = 0;

  /** @internal */
  private badThresholdAt = Infinity;

  constructor(
    private readonly plan: RolloutPlan,
    seed: number,
    private readonly bound: ExposureBound,
    private readonly createTest: (() => VersionTest) | undefined,
  ) {
    this.random = createRandom(seed);
    this.oldTargets = makeTargets(plan, 'old', this.random);
    this.newTargets = makeTargets(plan, 'new', this.random);
    const newTargets = this.newTargets.map(({ id }) => id);
    const order = {
      id: 'o-1',
      name: 'lab',
      service: 'lab',
      version: 'v2',
      durationMs: plan.durationMs,
      position: { epoch: 0, revision: 1 },
      state: undefined,
    };
    this.vms = Array.from({ length: plan.vms }, () => ({
      order,
      seenAt: 0,
      guidance: undefined,
      guidedUntil: 0,
      isStopped: false,
      evidence: new VersionEvidence(),
      baseline: new BaselineWorkTimes(),
      newTargets,
    }));
    this.sequences = this.vms.map(() => 0);
    this.oldRequests = this.vms.map(() => 0);
    this.coordinators = Array.from(
      { length: COORDINATORS },
      () => new RolloutCoordinator(order, bound, 0, createTest),
    );
  }

  play(): RolloutResult {
    const { plan, clock, random } = this;
    this.vms.forEach((_, i) => clock.after(random() * REPORT_INTERVAL_MS, () => this.report(i)));
    this.scheduleArrivals();
    clock.after(0.4 * plan.durationMs, () => this.killCoordinators());
    clock.runUntil(1.5 * plan.durationMs);
    return this.result;
  }

  /** Replaces coordinators with new ones without state, as if their VMs restarted. @internal */
  private killCoordinators(): void {
    for (let i = 0; i < this.plan.killedCoordinators; i++) {
      const { order } = this.vms[0];
      const now = this.clock.now();
      this.coordinators[i] = new RolloutCoordinator(order, this.bound, now, this.createTest);
    }
  }

  /** @internal */
  private report(vm: number): void {
    const { clock, random, plan, vms } = this;
    const now = clock.now();
    const rollout = vms[vm];
    this.sequences[vm] += 1;
    const stage = getStage(rollout, now);
    const report = {
      order: 'o-1',
      vm: `vm-${vm}`,
      run: 'r',
      sequence: this.sequences[vm],
      ageMs: now,
      phase: stage === 'paused' || stage === 'completed' ? 'trial' : stage,
      oldRequests: this.oldRequests[vm],
      counts: rollout.evidence.totals,
    } as const;
    let hasGuidance = false;
    for (const coordinator of this.coordinators) {
      if (random() < plan.loss || coordinator === undefined) continue;
      coordinator.addReport(report, now);
      const guidance = coordinator.decide(now, plan.vms);
      const isFirst = !hasGuidance || guidance?.phase === 'stopped';
      if (guidance === undefined || !isFirst || random() < plan.loss) continue;
      hasGuidance = true;
      rollout.guidance = guidance;
      rollout.guidedUntil = now + GUIDANCE_TTL_MS;
      if (guidance.phase === 'stopped') rollout.isStopped = true;
    }
    this.writeDueState();
    clock.after(REPORT_INTERVAL_MS, () => this.report(vm));
  }

  /** @internal */
  private writeDueState(): void {
    const { clock, coordinators, result } = this;
    if (result.state !== 'running') return;
    const now = clock.now();
    const state = coordinators.map((each) => each?.getDueState(now)).find((due) => due);
    if (state === undefined) return;
    result.state = state;
    result.writtenAt = now;
    clock.after(STATE_PROPAGATION_MS, () => {
      for (const rollout of this.vms) rollout.order = { ...rollout.order, state };
      if (state === 'completed') result.lost = this.oldRequests.reduce((sum, n) => sum + n, 0);
    });
  }

  /** @internal */
  private scheduleArrivals(): void {
    const { clock, random, plan } = this;
    this.request();
    clock.after((-Math.log(1 - random()) / plan.rate) * 1_000, () => this.scheduleArrivals());
  }

  /** @internal */
  private request(): void {
    const { clock, random, plan, result, vms } = this;
    const now = clock.now();
    const vm = Math.floor(random() * plan.vms);
    const route = random() < plan.routes.sell ? 'sell' : 'book';
    if (now < plan.durationMs) result.requests += 1;
    const rollout = vms[vm];
    const stage = getStage(rollout, now);
    const isNewOnly = stage === 'moved' || stage === 'completed';
    const isSome = (stage === 'trial' || stage === 'moving') && now > COLD_MS;
    const isNewVersion = isNewOnly || (isSome && random() < getRouteShare(rollout, route));
    const target = isNewVersion ? this.chooseNewTarget(rollout, isNewOnly) : undefined;
    if (target === undefined) this.run(vm, route, this.chooseLessLoaded(this.oldTargets), false);
    else {
      if (now < plan.durationMs) result.exposed += 1;
      if (this.bad >= BAD_ANSWER_THRESHOLD) result.afterBadMs = now - this.badThresholdAt;
      this.run(vm, route, target, true);
    }
  }

  /** @internal */
  private chooseNewTarget(rollout: ServiceRollout, isAll: boolean): LabVersionTarget | undefined {
    if (isAll) return this.chooseLessLoaded(this.newTargets);
    const inUse = getTargetsInUse(rollout);
    const open = this.newTargets.filter(
      ({ id, running }) => inUse.has(id) && running < this.plan.slots,
    );
    const isFilling = rollout.guidance?.phase === 'trial' && this.random() < 0.5;
    if (open.length > 0 && !isFilling) return this.chooseLessLoaded(open);
    return open.sort((a, b) => b.running - a.running)[0];
  }

  /** @internal */
  private chooseLessLoaded(targets: readonly LabVersionTarget[]): LabVersionTarget {
    const { random } = this;
    const [a, b] = [0, 0].map(() => targets[Math.floor(random() * targets.length)]);
    return a.running <= b.running ? a : b;
  }

  /** @internal */
  private isBadAnswer(route: string, target: LabVersionTarget, isNew: boolean): boolean {
    const { plan, random, clock } = this;
    const { versionFault } = plan;
    if (random() < plan.baselineBadShare || (target.isFaulty && random() < 0.5)) return true;
    if (!isNew || versionFault === undefined) return false;
    const { from, portion, fromRunning = 0 } = versionFault;
    const isRouteAffected = versionFault.route === undefined || versionFault.route === route;
    const isActive = clock.now() >= from * plan.durationMs && target.running >= fromRunning;
    return isRouteAffected && isActive && random() < portion;
  }

  /** @internal */
  private run(vm: number, route: string, target: LabVersionTarget, isNew: boolean): void {
    const { clock, plan, random } = this;
    target.running += 1;
    const isBad = this.isBadAnswer(route, target, isNew);
    const isSlow = isBad && plan.versionFault?.kind !== 'fails';
    const workMs = plan.workMs * (0.7 + 0.6 * random());
    if (!isNew) this.oldRequests[vm] += 1;
    const recordResult = (): void => {
      this.vms[vm].evidence.recordAnswer(
        route,
        isNew ? this.newTargets.indexOf(target) : undefined,
        isBad,
      );
      if (!isNew || !isBad) return;
      this.bad += 1;
      if (this.bad === BAD_ANSWER_THRESHOLD) this.badThresholdAt = clock.now();
    };
    clock.after(isSlow ? workMs * BAD_LATENCY_FACTOR : workMs, recordResult);
    clock.after(isSlow ? workMs * SLOW_FACTOR : workMs, () => {
      target.running -= 1;
      if (!isNew) this.oldRequests[vm] -= 1;
    });
  }
}

/**
 * Simulates one rollout in virtual time with the production rollout logic.
 * @param plan - Fleet, load, duration and fault of the new version.
 * @param seed - Seed of the random numbers.
 * @param bound - Exposure bound of a bad version.
 * @param createTest - Creates the statistical test of the version; the production default if left out.
 * @example
 * playRollout(ROLLOUT_PLANS.slow, 7, { share: 0.1, slack: 50 }).state; // 'rolledBack'
 */
export function playRollout(
  plan: RolloutPlan,
  seed: number,
  bound: ExposureBound,
  createTest?: () => VersionTest,
): RolloutResult {
  return new RolloutRun(plan, seed, bound, createTest).play();
}
