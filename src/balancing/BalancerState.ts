import type { AttemptId, RequestId, ServiceName, TargetId, ZoneName } from '../core/model/index.js';
import { CallerTimes } from './CallerTimes.js';
import { ColdAllowance } from './ColdAllowance.js';
import type { ServiceAdmission } from '../admission/index.js';
import { CrashLedger } from '../crashes/index.js';
import type { BrokenRun } from './crashes.js';
import { CRASH_LEDGER_OPTIONS } from './settings.js';
import type { RequestArrived } from './events.js';
import { HelperPool } from './HelperPool.js';
import type { ServiceReach } from './ServiceReach.js';
import type { PendingRequest, PendingAttempt } from './PendingRequest.js';
import type { RoutingTable, ServicePolicy } from './model.js';
import { LimitView, PermitIssuer, PermitPool } from '../limits/index.js';
import { KeyDirectory } from '../organisations/index.js';
import { QuotaIssuer, QuotaPool } from '../quotas/index.js';
import { ProbeBudget } from './ProbeBudget.js';
import { RetryBudget } from './RetryBudget.js';
import { FormerTargetNotices } from './TargetNotices.js';
import { ServiceVersions } from './ServiceVersions.js';
import { ServiceCurve } from './ServiceCurve.js';
import type { BalancingSettings } from './settings.js';
import type { TargetRecord } from './TargetRecord.js';
import { WorkTimes } from './WorkTimes.js';
import { ZonePressure } from './zonePressure.js';

/** The clock and random source of a handler; nothing else reaches it from outside. */
export interface BalancerContext {
  /** Monotonic milliseconds of this process. */
  readonly now: number;
  /** Uniform in [0, 1). */
  random(): number;
}

/** State of this entry VM's balancer. The reducer owns it and updates it in place. */
export interface BalancerState {
  readonly settings: BalancingSettings;
  /** When this process started; monotonic milliseconds. */
  readonly startedAt: number;
  /** Requests that arrived before configuration and targets were known. */
  readonly heldRequests: Map<RequestId, RequestArrived>;
  table: RoutingTable | undefined;
  services: ReadonlyMap<ServiceName, ServicePolicy>;
  /** Organisations by their API keys. */
  keys: KeyDirectory;
  /** Permits of quotas: `quotaPool` asks for them, `quotaIssuer` grants them. */
  readonly quotaPool: QuotaPool;
  readonly quotaIssuer: QuotaIssuer;
  readonly targets: Map<TargetId, TargetRecord>;
  /** What targets asked for whose registration has ended. */
  readonly formerNotices: FormerTargetNotices;
  /** Whether more targets are registered than have been read. */
  isTargetListPartial: boolean;
  /** The same records by service, sorted by this VM's preference. */
  targetsByService: ReadonlyMap<ServiceName, readonly TargetRecord[]>;
  zonesOut: ReadonlySet<ZoneName>;
  /** Names of the entry VMs that are up, including this one. */
  liveVms: readonly string[];
  /**
   * Names of all entry VMs that have announced themselves, up or not. The VMs' views of this list
   * converge sooner than those of the live VMs.
   */
  announcedVms: readonly string[];
  /**
   * Whether the announced VMs have been read. Until then this VM must not take the share of the only
   * one.
   */
  areVmsKnown: boolean;
  readonly pendingRequests: Map<RequestId, PendingRequest>;
  readonly pendingAttempts: Map<AttemptId, PendingAttempt>;
  lastAttemptId: AttemptId;
  readonly retryBudget: RetryBudget;
  readonly coldRate: ColdAllowance;
  /** Requests per second that targets accept from all entry VMs together, as advertised. */
  readonly limits: LimitView;
  /** Permits to send to limited targets: `permits` holds those of this VM, `issuer` grants them. */
  readonly permits: PermitPool;
  readonly issuer: PermitIssuer;
  /** Requests that were running on targets when these crashed. */
  readonly crashes: CrashLedger;
  /** Runs of targets that may have crashed, by `getRunKey`. */
  readonly brokenRuns: Map<string, BrokenRun>;
  /** What has been heard from each service's targets. */
  readonly reach: Map<ServiceName, ServiceReach>;
  /** Other VMs that requests are passed on to while this one does not reach their targets. */
  readonly helpers: HelperPool;
  /** Requests that were passed on and not answered yet, by the id of the attempt. */
  readonly forwards: Map<AttemptId, PendingRequest>;
  /** Unknown headers of targets' answers that have been logged. */
  readonly loggedUnreadHeaders: Set<string>;
  readonly probeBudget: ProbeBudget;
  readonly workTimes: WorkTimes;
  /** How far this VM looks for targets in other zones. */
  readonly zonePressure: ZonePressure;
  /** What has been learnt about each service's targets. */
  readonly serviceCurves: Map<ServiceName, ServiceCurve>;
  readonly callerTimes: CallerTimes;
  /** Decisions by priority, for services whose requests differ in it. */
  readonly admissions: Map<ServiceName, ServiceAdmission>;
  /** Versions of targets that requests may be sent to. */
  readonly versions: ServiceVersions;
  /** When a graceful shutdown began, monotonic milliseconds; undefined if none did. */
  shutdownStartedAt: number | undefined;
}

/**
 * Creates the state of a process that has just started.
 * @param settings - Checked settings.
 * @param startedAt - When the process started; monotonic milliseconds, which usually count from
 * then.
 * @example
 * const state = createBalancerState(settings, clock.now());
 */
export function createBalancerState(settings: BalancingSettings, startedAt = 0): BalancerState {
  return {
    settings,
    startedAt,
    heldRequests: new Map(),
    table: undefined,
    services: new Map(),
    keys: new KeyDirectory(),
    quotaPool: new QuotaPool(settings.quotas),
    quotaIssuer: new QuotaIssuer(settings.quotas),
    targets: new Map(),
    formerNotices: new FormerTargetNotices(),
    isTargetListPartial: false,
    targetsByService: new Map(),
    zonesOut: new Set(),
    liveVms: [settings.vm],
    announcedVms: [],
    areVmsKnown: false,
    pendingRequests: new Map(),
    pendingAttempts: new Map(),
    lastAttemptId: 0,
    retryBudget: new RetryBudget(settings.retries),
    coldRate: new ColdAllowance(settings.cold),
    limits: new LimitView(),
    permits: new PermitPool(),
    issuer: new PermitIssuer(),
    crashes: new CrashLedger(CRASH_LEDGER_OPTIONS),
    brokenRuns: new Map(),
    reach: new Map(),
    helpers: new HelperPool(),
    forwards: new Map(),
    loggedUnreadHeaders: new Set(),
    probeBudget: new ProbeBudget(settings.probesPerTargetAndSecond),
    workTimes: new WorkTimes(),
    zonePressure: new ZonePressure(),
    serviceCurves: new Map(),
    callerTimes: new CallerTimes(),
    admissions: new Map(),
    versions: new ServiceVersions(settings.rollouts !== undefined),
    shutdownStartedAt: undefined,
  };
}

/**
 * Returns what has been learnt about a service's targets; created with initial estimates if needed.
 * @param state - State of this entry VM.
 * @param service - The service.
 */
export function getServiceCurve(
  { serviceCurves }: BalancerState,
  service: ServiceName,
): ServiceCurve {
  let curve = serviceCurves.get(service);
  if (curve === undefined) {
    curve = new ServiceCurve();
    serviceCurves.set(service, curve);
  }
  return curve;
}
