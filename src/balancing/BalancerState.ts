import type { AttemptId, RequestId, ServiceName, TargetId, ZoneName } from '../core/model/index.js';
import { CallerTimes } from './CallerTimes.js';
import { ColdAllowance } from './ColdAllowance.js';
import type { RequestArrived } from './events.js';
import type { Journey, Sending } from './Journey.js';
import type { RoutingTable, ServiceRules } from './model.js';
import { LimitView, PermitIssuer, PermitPool } from '../limits/index.js';
import { ProbeBudget } from './ProbeBudget.js';
import { RetryBudget } from './RetryBudget.js';
import { ServiceVersions } from './ServiceVersions.js';
import { ServiceCurve } from './ServiceCurve.js';
import type { BalancingSettings } from './settings.js';
import type { TargetRecord } from './TargetRecord.js';
import { WorkTimes } from './WorkTimes.js';

/** What a handler may ask of the outside: time and chance, nothing else. */
export interface BalancerContext {
  /** Monotonic milliseconds of this process. */
  readonly now: number;
  /** Uniform in [0, 1). */
  random(): number;
}

/** All that this entry VM knows. The reducer owns it and updates it in place. */
export interface BalancerState {
  readonly settings: BalancingSettings;
  /** When this process started; monotonic milliseconds. */
  readonly startedAt: number;
  /** Requests that came before configuration and targets were known. */
  readonly early: Map<RequestId, RequestArrived>;
  table: RoutingTable | undefined;
  services: ReadonlyMap<ServiceName, ServiceRules>;
  readonly targets: Map<TargetId, TargetRecord>;
  /** Whether there are targets that were not read yet. */
  isPartial: boolean;
  /** The same records by service, those that this VM prefers first. */
  byService: ReadonlyMap<ServiceName, readonly TargetRecord[]>;
  zonesOut: ReadonlySet<ZoneName>;
  /** Entry VMs that are up, this one among them. */
  vms: readonly string[];
  /** Entry VMs that have announced themselves, up or not: on these all VMs agree sooner. */
  announced: readonly string[];
  readonly journeys: Map<RequestId, Journey>;
  readonly sendings: Map<AttemptId, Sending>;
  lastAttempt: AttemptId;
  readonly retries: RetryBudget;
  readonly cold: ColdAllowance;
  /** Requests a second that targets say they take from all entry VMs together. */
  readonly limits: LimitView;
  /** Permits to send to limited targets: those that this VM holds, and those that it issues. */
  readonly permits: PermitPool;
  readonly issuer: PermitIssuer;
  readonly probes: ProbeBudget;
  readonly work: WorkTimes;
  /** What is learnt of each service's targets. */
  readonly curves: Map<ServiceName, ServiceCurve>;
  readonly callerTimes: CallerTimes;
  /** Versions of targets that requests may go to. */
  readonly versions: ServiceVersions;
  /** When a planned stop began; undefined if none did. */
  stopAskedAt: number | undefined;
}

/**
 * Makes the state of a process that has just started.
 * @param settings - Checked settings.
 * @param startedAt - When the process started; monotonic milliseconds, which mostly count from then.
 * @example
 * const state = createBalancerState(settings, clock.now());
 */
export function createBalancerState(settings: BalancingSettings, startedAt = 0): BalancerState {
  return {
    settings,
    startedAt,
    early: new Map(),
    table: undefined,
    services: new Map(),
    targets: new Map(),
    isPartial: false,
    byService: new Map(),
    zonesOut: new Set(),
    vms: [settings.vm],
    announced: [settings.vm],
    journeys: new Map(),
    sendings: new Map(),
    lastAttempt: 0,
    retries: new RetryBudget(settings.retries),
    cold: new ColdAllowance(settings.cold),
    limits: new LimitView(),
    permits: new PermitPool(),
    issuer: new PermitIssuer(),
    probes: new ProbeBudget(settings.probesPerTargetAndSecond),
    work: new WorkTimes(),
    curves: new Map(),
    callerTimes: new CallerTimes(),
    versions: new ServiceVersions(settings.rollouts !== undefined),
    stopAskedAt: undefined,
  };
}

/**
 * What is learnt of a service's targets; a first guess if nothing is yet.
 * @param state - What is known.
 * @param service - The service.
 */
export function getCurve({ curves }: BalancerState, service: ServiceName): ServiceCurve {
  let curve = curves.get(service);
  if (curve === undefined) {
    curve = new ServiceCurve();
    curves.set(service, curve);
  }
  return curve;
}
