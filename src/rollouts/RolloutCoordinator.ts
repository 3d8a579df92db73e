import type {
  RolloutGuidance,
  RolloutOrder,
  RolloutPhase,
  RolloutReport,
  RolloutState,
} from './model.js';
import { ROLLOUT_PHASES } from './model.js';
import { RolloutTally } from './RolloutTally.js';
import type { ExposureBound } from './trialShare.js';
import { getRouteShares, getTrialShare } from './trialShare.js';
import { MOST_SUSPICION, VersionJudge } from './VersionJudge.js';
import type { VersionTest } from './VersionTest.js';

/** A coordinator that has just begun hears from all VMs first, in milliseconds. */
const HEARING_MS = 600;

/**
 * The move begins so long before the limit, in milliseconds, that requests at old targets can end;
 * no sooner, since a version may turn bad late, and has done little as long as it is on trial.
 */
const MOVE_BEFORE_LIMIT_MS = 5_000;

/** In short rollouts the trial takes at least this part of the time. */
const LEAST_TRIAL_PART = 0.4;

/** Shares on the way to all requests, and how long each holds at least, in milliseconds. */
const MOVE_SHARES: readonly number[] = [0.25, 0.6];
const MOVE_STEP_MS = 800;

/** All requests go to new targets for so long at least before old ones may stop, in milliseconds. */
const LEAST_MOVED_MS = 600;

/**
 * Completion is written so long before the limit even if requests are left at old targets, in ms,
 * unless all others have moved only a moment ago, also in ms.
 */
const COMPLETE_BEFORE_LIMIT_MS = 1_200;
const LONG_MOVED_MS = 2_000;

/** A VM that has not reported for so long is not waited for, in milliseconds. */
const REPORT_FRESH_MS = 1_000;

/**
 * A coordinator that hears from a smaller part of the VMs lets none go on: it may be the one that is cut
 * off, and knows nothing of what the others see.
 */
const LEAST_HEARD_SHARE = 0.25;

/** A version that is suspect so long before the limit is taken back, in milliseconds. */
const SUSPECT_ENDS_MS = 600;

/** A version that is still in doubt after so many times the ordered time is taken back. */
const DOUBT_ENDS_AFTER = 2;

interface KnownVm {
  readonly phase: RolloutPhase;
  readonly oldRequests: number;
  readonly at: number;
}

/** What a decision rests on, for the log. */
export interface RolloutInputs {
  readonly ageMs: number;
  readonly vms: number;
  readonly oldAnswers: number;
  readonly oldBad: number;
  readonly newAnswers: number;
  readonly newBad: number;
  readonly suspicion: number;
  readonly route: string | undefined;
}

function getRank(phase: RolloutPhase): number {
  return ROLLOUT_PHASES.indexOf(phase);
}

/**
 * Leads one order from its trial to its end by what entry VMs report.
 *
 * Several VMs may coordinate the same order: each comes to the same end by itself, and the store takes
 * the state that is written first.
 */
export class RolloutCoordinator {
  /** @internal */
  private readonly tally = new RolloutTally();

  /** @internal */
  private readonly judge: VersionJudge;

  /** Latest of each VM. @internal */
  private readonly vms = new Map<string, KnownVm>();

  /** When the order was first seen by any VM; monotonic milliseconds. @internal */
  private orderedAt: number;

  /** @internal */
  private phase: RolloutPhase = 'trial';

  /** @internal */
  private phaseSince: number;

  /** Entry VMs that there are, by the last decision. @internal */
  private vmCount = Number.POSITIVE_INFINITY;

  /** Index in `MOVE_SHARES`. @internal */
  private step = 0;

  /**
   * @param order - What operators asked for.
   * @param bound - What they allow a bad version.
   * @param startedAt - When this VM began to coordinate; monotonic milliseconds.
   * @param createTest - Makes the test that versions are judged by.
   */
  constructor(
    readonly order: RolloutOrder,
    private readonly bound: ExposureBound,
    private readonly startedAt: number,
    createTest?: () => VersionTest,
  ) {
    this.orderedAt = startedAt;
    this.phaseSince = startedAt;
    this.judge = new VersionJudge(createTest);
  }

  /**
   * Takes what an entry VM reports.
   * @param report - The report.
   * @param now - Monotonic milliseconds.
   */
  take(report: RolloutReport, now: number): void {
    if (!this.tally.take(report)) return;
    this.orderedAt = Math.min(this.orderedAt, now - report.ageMs);
    const { vm, phase, oldRequests } = report;
    this.vms.set(vm, { phase, oldRequests, at: now });
    // One VM's word that the version is bad is enough; how far a move has come is taken over by a
    // coordinator that has just begun.
    const isBeginning = now - this.startedAt < HEARING_MS;
    if (phase === 'stopped' || (isBeginning && getRank(phase) > getRank(this.phase))) {
      this.enter(phase, now);
    }
  }

  /**
   * Decides anew what VMs are to do.
   * @param now - Monotonic milliseconds.
   * @param vmCount - Entry VMs that there are.
   * @returns Undefined while too little was heard.
   */
  decide(now: number, vmCount: number): RolloutGuidance | undefined {
    this.judge.take(this.tally.takeSteps(), now);
    if (this.phase !== 'stopped' && this.judge.verdict === 'bad') this.enter('stopped', now);
    if (this.phase === 'stopped') return { phase: 'stopped', share: 0 };
    this.vmCount = vmCount;
    if (!this.isHeard(now) || now - this.startedAt < HEARING_MS) return undefined;
    this.advance(now);
    const share = this.getShare(now);
    if (this.phase !== 'trial' || share === 0) return { phase: this.phase, share };
    return { phase: this.phase, share, routeShares: getRouteShares(share, this.judge.routeParts) };
  }

  /**
   * The final state that is due to be written; undefined while the order goes on.
   * @param now - Monotonic milliseconds.
   */
  getDueState(now: number): RolloutState | undefined {
    if (this.phase === 'stopped') return 'rolledBack';
    if (!this.isHeard(now)) return undefined;
    if (this.phase === 'moved') return this.isMoveDone(now) ? 'completed' : undefined;
    return this.isDoubtOver(now) ? 'rolledBack' : undefined;
  }

  /** Phase that the order is in by the last decision. */
  get lastPhase(): RolloutPhase {
    return this.phase;
  }

  /** What decisions rest on now. */
  getInputs(now: number): RolloutInputs {
    const { old, new: fresh } = this.tally.totals;
    return {
      ageMs: Math.round(this.getAge(now)),
      vms: this.vms.size,
      oldAnswers: old.answers,
      oldBad: old.bad,
      newAnswers: fresh.answers,
      newBad: fresh.bad,
      suspicion: Number(this.judge.suspicion.toFixed(2)),
      route: this.judge.suspectRoute,
    };
  }

  /** Time since the order, as far as is known, in milliseconds. */
  getAge(now: number): number {
    return now - this.orderedAt;
  }

  /** Whether a version that was not found good in time is to be taken back. @internal */
  private isDoubtOver(now: number): boolean {
    const { durationMs } = this.order;
    const ageMs = this.getAge(now);
    if (this.judge.verdict === 'good') return false;
    const isSuspect = this.judge.suspicion > MOST_SUSPICION;
    if (isSuspect && ageMs > durationMs - SUSPECT_ENDS_MS) return true;
    return ageMs > DOUBT_ENDS_AFTER * durationMs;
  }

  /** @internal */
  private enter(phase: RolloutPhase, now: number): void {
    if (this.phase === phase) return;
    this.phase = phase;
    this.phaseSince = now;
  }

  /** @internal */
  private advance(now: number): void {
    const inPhaseMs = now - this.phaseSince;
    if (this.phase === 'trial') {
      if (this.getAge(now) >= this.moveAt && this.judge.verdict === 'good') {
        this.step = 0;
        this.enter('moving', now);
      }
      return;
    }
    if (this.phase !== 'moving' || this.judge.verdict !== 'good') return;
    if (inPhaseMs < MOVE_STEP_MS * (this.step + 1)) return;
    this.step += 1;
    if (this.step >= MOVE_SHARES.length) this.enter('moved', now);
  }

  /** VMs that reported lately. @internal */
  private getHeard(now: number): readonly KnownVm[] {
    return [...this.vms.values()].filter(({ at }) => now - at < REPORT_FRESH_MS);
  }

  /** Whether enough VMs report. @internal */
  private isHeard(now: number): boolean {
    return this.getHeard(now).length >= LEAST_HEARD_SHARE * this.vmCount;
  }

  /** Age of the order at which the move may begin, in milliseconds. @internal */
  private get moveAt(): number {
    const { durationMs } = this.order;
    return Math.max(LEAST_TRIAL_PART * durationMs, durationMs - MOVE_BEFORE_LIMIT_MS);
  }

  /** @internal */
  private getShare(now: number): number {
    if (this.phase === 'moved') return 1;
    if (this.phase === 'moving') return MOVE_SHARES[this.step];
    return getTrialShare(this.bound, this.tally.totals, this.getAge(now), this.order.durationMs);
  }

  /** Whether old targets may stop without a loss, or have to since the limit is near. @internal */
  private isMoveDone(now: number): boolean {
    const movedMs = now - this.phaseSince;
    if (movedMs < LEAST_MOVED_MS) return false;
    const isNearLimit = this.getAge(now) >= this.order.durationMs - COMPLETE_BEFORE_LIMIT_MS;
    if (isNearLimit && movedMs >= LONG_MOVED_MS) return true;
    return this.getHeard(now).every(
      ({ phase, oldRequests }) => phase === 'moved' && oldRequests === 0,
    );
  }
}
