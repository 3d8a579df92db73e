import type {
  RolloutGuidance,
  RolloutOrder,
  RolloutPhase,
  RolloutReport,
  RolloutState,
} from './model.js';
import { ROLLOUT_PHASES } from './model.js';
import { ReportAggregator } from './ReportAggregator.js';
import type { ExposureBound } from './trialShare.js';
import { getRouteShares, getTrialShare } from './trialShare.js';
import { MAX_GOOD_SUSPICION, VersionJudge } from './VersionJudge.js';
import type { VersionTest } from './VersionTest.js';

/**
 * A coordinator that has just started collects reports for this long before it decides, in
 * milliseconds.
 */
const STARTUP_LISTEN_MS = 600;

/**
 * The move begins this long before the deadline, in milliseconds, so that requests at old targets
 * can finish. It does not begin sooner because a version may turn bad late, and does little harm
 * while it is on trial.
 */
const MOVE_LEAD_MS = 5_000;

/** In short rollouts the trial takes at least this fraction of the time. */
const MIN_TRIAL_FRACTION = 0.4;

/**
 * Successive shares of requests that go to the new version during the move, and the minimum
 * duration of each step, in milliseconds.
 */
const MOVE_SHARES: readonly number[] = [0.25, 0.6];
const MOVE_STEP_MS = 800;

/**
 * All requests go to new targets for at least this long before old targets may be stopped, in
 * milliseconds.
 */
const MIN_MOVED_MS = 600;

/**
 * This close to the deadline, completion is written even if requests remain at old targets,
 * provided that the `moved` phase began at least `FORCED_COMPLETION_MOVED_MS` ago; both in
 * milliseconds.
 */
const COMPLETION_LEAD_MS = 1_200;
const FORCED_COMPLETION_MOVED_MS = 2_000;

/** A VM whose last report is older than this is not waited for, in milliseconds. */
const REPORT_TTL_MS = 1_000;

/**
 * Minimum share of the entry VMs that have to report. A coordinator that hears from fewer may be
 * partitioned from the others and not know what they observe, so it gives no guidance and completes
 * nothing.
 */
const MIN_REPORTING_SHARE = 0.25;

/** A suspicious version is rolled back this long before the deadline, in milliseconds. */
const SUSPECT_ROLLBACK_LEAD_MS = 600;

/**
 * A version that is still not found good after this multiple of the ordered duration is rolled
 * back.
 */
const MAX_DURATION_FACTOR = 2;

interface VmReport {
  readonly phase: RolloutPhase;
  readonly oldRequests: number;
  readonly at: number;
}

/** Evidence that a decision is based on, for the log. */
export interface DecisionInputs {
  readonly ageMs: number;
  readonly vms: number;
  readonly oldAnswers: number;
  readonly oldBad: number;
  readonly newAnswers: number;
  readonly newBad: number;
  readonly suspicion: number;
  readonly route: string | undefined;
}

function getPhaseIndex(phase: RolloutPhase): number {
  return ROLLOUT_PHASES.indexOf(phase);
}

/**
 * Leads one rollout order from its trial to its final state, based on the reports of entry VMs.
 *
 * Several VMs may coordinate the same order. Each of them decides independently, and the store
 * accepts the final state that is written first.
 */
export class RolloutCoordinator {
  /** @internal */
  private readonly reports = new ReportAggregator();

  /** @internal */
  private readonly judge: VersionJudge;

  /** Latest report of each VM. @internal */
  private readonly vms = new Map<string, VmReport>();

  /** When any VM first saw the order; monotonic milliseconds. @internal */
  private orderedAt: number;

  /** @internal */
  private phase: RolloutPhase = 'trial';

  /** @internal */
  private phaseSince: number;

  /** Number of entry VMs at the last decision. @internal */
  private vmCount = Number.POSITIVE_INFINITY;

  /** Index in `MOVE_SHARES`. @internal */
  private moveStep = 0;

  /**
   * @param order - The operator's order.
   * @param bound - Exposure that operators allow to a bad version.
   * @param startedAt - When this VM began to coordinate; monotonic milliseconds.
   * @param createTest - Creates the test that the version is evaluated with.
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
   * Adds a report of an entry VM.
   * @param report - The report.
   * @param now - Monotonic milliseconds.
   */
  addReport(report: RolloutReport, now: number): void {
    if (!this.reports.addReport(report)) return;
    this.orderedAt = Math.min(this.orderedAt, now - report.ageMs);
    const { vm, phase, oldRequests } = report;
    this.vms.set(vm, { phase, oldRequests, at: now });
    // A single VM's report that the version was stopped is sufficient. A coordinator that has just
    // started also adopts the progress of the move from the reports.
    const isStarting = now - this.startedAt < STARTUP_LISTEN_MS;
    if (phase === 'stopped' || (isStarting && getPhaseIndex(phase) > getPhaseIndex(this.phase))) {
      this.enter(phase, now);
    }
  }

  /**
   * Decides what entry VMs should do now.
   * @param now - Monotonic milliseconds.
   * @param vmCount - Number of entry VMs.
   * @returns Undefined while too few VMs have reported.
   */
  decide(now: number, vmCount: number): RolloutGuidance | undefined {
    this.judge.add(this.reports.takeDeltas(), now);
    if (this.phase !== 'stopped' && this.judge.verdict === 'bad') this.enter('stopped', now);
    if (this.phase === 'stopped') return { phase: 'stopped', share: 0 };
    this.vmCount = vmCount;
    if (!this.hasEnoughReports(now) || now - this.startedAt < STARTUP_LISTEN_MS) return undefined;
    this.advance(now);
    const share = this.getShare(now);
    if (this.phase !== 'trial' || share === 0) return { phase: this.phase, share };
    return {
      phase: this.phase,
      share,
      routeShares: getRouteShares(share, this.judge.trafficShares),
    };
  }

  /**
   * The final state that has to be written; undefined while the rollout continues.
   * @param now - Monotonic milliseconds.
   */
  getDueState(now: number): RolloutState | undefined {
    if (this.phase === 'stopped') return 'rolledBack';
    if (!this.hasEnoughReports(now)) return undefined;
    if (this.phase === 'moved') return this.canComplete(now) ? 'completed' : undefined;
    return this.isOverdue(now) ? 'rolledBack' : undefined;
  }

  /** Phase of the order as of the last decision. */
  get currentPhase(): RolloutPhase {
    return this.phase;
  }

  /** Evidence that decisions are based on now. */
  getInputs(now: number): DecisionInputs {
    const { old: oldCounts, new: newCounts } = this.reports.totals;
    return {
      ageMs: Math.round(this.getAge(now)),
      vms: this.vms.size,
      oldAnswers: oldCounts.answers,
      oldBad: oldCounts.bad,
      newAnswers: newCounts.answers,
      newBad: newCounts.bad,
      suspicion: Number(this.judge.suspicion.toFixed(2)),
      route: this.judge.suspectRoute,
    };
  }

  /** Time since the order was given, as far as is known, in milliseconds. */
  getAge(now: number): number {
    return now - this.orderedAt;
  }

  /** Whether a version that was not found good in time has to be rolled back. @internal */
  private isOverdue(now: number): boolean {
    const { durationMs } = this.order;
    const ageMs = this.getAge(now);
    if (this.judge.verdict === 'good') return false;
    const isSuspect = this.judge.suspicion > MAX_GOOD_SUSPICION;
    if (isSuspect && ageMs > durationMs - SUSPECT_ROLLBACK_LEAD_MS) return true;
    return ageMs > MAX_DURATION_FACTOR * durationMs;
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
      if (this.getAge(now) >= this.moveStartAgeMs && this.judge.verdict === 'good') {
        this.moveStep = 0;
        this.enter('moving', now);
      }
      return;
    }
    if (this.phase !== 'moving' || this.judge.verdict !== 'good') return;
    if (inPhaseMs < MOVE_STEP_MS * (this.moveStep + 1)) return;
    this.moveStep += 1;
    if (this.moveStep >= MOVE_SHARES.length) this.enter('moved', now);
  }

  /** VMs that have reported recently. @internal */
  private getReportingVms(now: number): readonly VmReport[] {
    return [...this.vms.values()].filter(({ at }) => now - at < REPORT_TTL_MS);
  }

  /** Whether enough VMs have reported recently. @internal */
  private hasEnoughReports(now: number): boolean {
    return this.getReportingVms(now).length >= MIN_REPORTING_SHARE * this.vmCount;
  }

  /** Age of the order at which the move may begin, in milliseconds. @internal */
  private get moveStartAgeMs(): number {
    const { durationMs } = this.order;
    return Math.max(MIN_TRIAL_FRACTION * durationMs, durationMs - MOVE_LEAD_MS);
  }

  /** @internal */
  private getShare(now: number): number {
    if (this.phase === 'moved') return 1;
    if (this.phase === 'moving') return MOVE_SHARES[this.moveStep];
    return getTrialShare(this.bound, this.reports.totals, this.getAge(now), this.order.durationMs);
  }

  /**
   * Whether old targets may be stopped without losing requests, or have to be because the deadline
   * is near. @internal
   */
  private canComplete(now: number): boolean {
    const movedMs = now - this.phaseSince;
    if (movedMs < MIN_MOVED_MS) return false;
    const isNearDeadline = this.getAge(now) >= this.order.durationMs - COMPLETION_LEAD_MS;
    if (isNearDeadline && movedMs >= FORCED_COMPLETION_MOVED_MS) return true;
    return this.getReportingVms(now).every(
      ({ phase, oldRequests }) => phase === 'moved' && oldRequests === 0,
    );
  }
}
