import type { ServiceRollout } from '../balancing/index.js';
import { getRouteShare, getStage, getTargetsInUse } from '../balancing/index.js';
import type { ExposureBound, RolloutState, VersionTest } from '../rollouts/index.js';
import { RolloutCoordinator, VersionEvidence } from '../rollouts/index.js';
import { createRandom } from '../standIns/models/index.js';
import { VirtualClock } from '../proof/VirtualClock.js';
import type { RolloutPlan } from './RolloutPlan.js';

const COORDINATORS = 3;
const REPORT_MS = 400;
const GUIDANCE_MS = 1_200;
/** Time until all VMs know a state that was written, in milliseconds. */
const WRITTEN_MS = 200;
/** A slow answer takes so many times as long, and any is bad that takes `LATE` times as long. */
const SLOW = 4;
const LATE = 1.8;
/** New targets are cold for so long after the order, in milliseconds. */
const COLD_MS = 3_000;
/** A bad version's bad answer of this number starts the time in which it has to be taken back. */
const COUNTED_BAD = 50;

/** What came of a rollout. */
export interface RolloutResult {
  readonly state: RolloutState;
  /** When the state was written, in milliseconds after the order; infinite if it never was. */
  readonly writtenAt: number;
  /** Requests to the new version and to both, from the order to its limit. */
  readonly exposed: number;
  readonly requests: number;
  /** Longest that a request went to the new version after the 50th bad answer, in milliseconds. */
  readonly afterBadMs: number;
  /** Requests at old targets as completion was known. */
  readonly lost: number;
}

interface LabVersionTarget {
  readonly id: string;
  readonly isIll: boolean;
  running: number;
}

function makeTargets(plan: RolloutPlan, name: string, random: () => number): LabVersionTarget[] {
  return Array.from({ length: plan.targets }, (_, i) => ({
    id: `${name}-${i}`,
    isIll: random() < plan.illTargets,
    running: 0,
  }));
}

/** One rollout with its VMs, targets and coordinators in virtual time. */
class RolloutRun {
  /** @internal */
  private readonly clock = new VirtualClock();

  /** @internal */
  private readonly random: () => number;

  /** @internal */
  private readonly vms: ServiceRollout[];

  /** @internal */
  private readonly sequences: number[];

  /** Requests at old targets, by VM. @internal */
  private readonly oldRequests: number[];

  /** @internal */
  private readonly coordinators: (RolloutCoordinator | undefined)[];

  /** @internal */
  private readonly old: readonly LabVersionTarget[];

  /** @internal */
  private readonly fresh: readonly LabVersionTarget[];

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
  private badAt = Infinity;

  constructor(
    private readonly plan: RolloutPlan,
    seed: number,
    private readonly bound: ExposureBound,
    private readonly createTest: (() => VersionTest) | undefined,
  ) {
    this.random = createRandom(seed);
    this.old = makeTargets(plan, 'old', this.random);
    this.fresh = makeTargets(plan, 'new', this.random);
    const newTargets = this.fresh.map(({ id }) => id);
    const order = {
      id: 'o-1',
      name: 'lab',
      service: 'lab',
      version: 'v2',
      durationMs: plan.durationMs,
      revision: 1,
      state: undefined,
    };
    this.vms = Array.from({ length: plan.vms }, () => ({
      order,
      seenAt: 0,
      guidance: undefined,
      guidedUntil: 0,
      isStopped: false,
      evidence: new VersionEvidence(),
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
    this.vms.forEach((_, i) => clock.after(random() * REPORT_MS, () => this.report(i)));
    this.arrive();
    clock.after(0.4 * plan.durationMs, () => this.killCoordinators());
    clock.runUntil(1.5 * plan.durationMs);
    return this.result;
  }

  /** Their VMs come back at once, knowing nothing. @internal */
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
    let isTold = false;
    for (const coordinator of this.coordinators) {
      if (random() < plan.loss || coordinator === undefined) continue;
      coordinator.addReport(report, now);
      const guidance = coordinator.decide(now, plan.vms);
      const isFirst = !isTold || guidance?.phase === 'stopped';
      if (guidance === undefined || !isFirst || random() < plan.loss) continue;
      isTold = true;
      rollout.guidance = guidance;
      rollout.guidedUntil = now + GUIDANCE_MS;
      if (guidance.phase === 'stopped') rollout.isStopped = true;
    }
    this.writeDue();
    clock.after(REPORT_MS, () => this.report(vm));
  }

  /** @internal */
  private writeDue(): void {
    const { clock, coordinators, result } = this;
    if (result.state !== 'running') return;
    const now = clock.now();
    const state = coordinators.map((each) => each?.getDueState(now)).find((due) => due);
    if (state === undefined) return;
    result.state = state;
    result.writtenAt = now;
    clock.after(WRITTEN_MS, () => {
      for (const rollout of this.vms) rollout.order = { ...rollout.order, state };
      if (state === 'completed') result.lost = this.oldRequests.reduce((sum, n) => sum + n, 0);
    });
  }

  /** @internal */
  private arrive(): void {
    const { clock, random, plan } = this;
    this.request();
    clock.after((-Math.log(1 - random()) / plan.rate) * 1_000, () => this.arrive());
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
    const isAll = stage === 'moved' || stage === 'completed';
    const isSome = (stage === 'trial' || stage === 'moving') && now > COLD_MS;
    const isTried = isAll || (isSome && random() < getRouteShare(rollout, route));
    const target = isTried ? this.chooseNew(rollout, isAll) : undefined;
    if (target === undefined) this.run(vm, route, this.choose(this.old), false);
    else {
      if (now < plan.durationMs) result.exposed += 1;
      if (this.bad >= COUNTED_BAD) result.afterBadMs = now - this.badAt;
      this.run(vm, route, target, true);
    }
  }

  /** @internal */
  private chooseNew(rollout: ServiceRollout, isAll: boolean): LabVersionTarget | undefined {
    if (isAll) return this.choose(this.fresh);
    const inUse = getTargetsInUse(rollout);
    const open = this.fresh.filter(({ id, running }) => inUse.has(id) && running < this.plan.slots);
    const isFilling = rollout.guidance?.phase === 'trial' && this.random() < 0.5;
    if (open.length > 0 && !isFilling) return this.choose(open);
    return open.sort((a, b) => b.running - a.running)[0];
  }

  /** @internal */
  private choose(targets: readonly LabVersionTarget[]): LabVersionTarget {
    const { random } = this;
    const [a, b] = [0, 0].map(() => targets[Math.floor(random() * targets.length)]);
    return a.running <= b.running ? a : b;
  }

  /** @internal */
  private isBadAnswer(route: string, target: LabVersionTarget, isNew: boolean): boolean {
    const { plan, random, clock } = this;
    const { badness } = plan;
    if (random() < plan.usualBad || (target.isIll && random() < 0.5)) return true;
    if (!isNew || badness === undefined) return false;
    const { from, portion, fromRunning = 0 } = badness;
    const isMeant = badness.route === undefined || badness.route === route;
    const isBegun = clock.now() >= from * plan.durationMs && target.running >= fromRunning;
    return isMeant && isBegun && random() < portion;
  }

  /** @internal */
  private run(vm: number, route: string, target: LabVersionTarget, isNew: boolean): void {
    const { clock, plan, random } = this;
    target.running += 1;
    const isBad = this.isBadAnswer(route, target, isNew);
    const isSlow = isBad && plan.badness?.kind !== 'fails';
    const workMs = plan.workMs * (0.7 + 0.6 * random());
    if (!isNew) this.oldRequests[vm] += 1;
    const note = (): void => {
      this.vms[vm].evidence.recordAnswer(
        route,
        isNew ? this.fresh.indexOf(target) : undefined,
        isBad,
      );
      if (!isNew || !isBad) return;
      this.bad += 1;
      if (this.bad === COUNTED_BAD) this.badAt = clock.now();
    };
    clock.after(isSlow ? workMs * LATE : workMs, note);
    clock.after(isSlow ? workMs * SLOW : workMs, () => {
      target.running -= 1;
      if (!isNew) this.oldRequests[vm] -= 1;
    });
  }
}

/**
 * Plays one rollout in virtual time with the product's own decisions on it.
 * @param plan - What is rolled out where.
 * @param seed - Fixes all chance.
 * @param bound - What operators allow a bad version.
 * @param createTest - Makes the test that the version is judged by; the product's own if left out.
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
