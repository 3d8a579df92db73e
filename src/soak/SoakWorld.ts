import { join } from 'node:path';

import type { TargetRegistration } from '../balancing/index.js';
import type { LimitChange } from '../lab/index.js';
import type { StoreCopy } from '../platform/standIn/index.js';
import {
  PlatformStore,
  PlatformTarget,
  putConfiguration,
  putTarget,
  removeTarget,
} from '../platform/standIn/index.js';
import { createRandom } from '../standIns/models/index.js';
import type { IdentityRecord } from './checkOrganisations.js';
import type { Ban, CrashRecord, PauseRecord, RunRecord, TargetDrain } from './checkSoak.js';
import type { LinkMode } from './FaultProxy.js';
import { FaultProxy } from './FaultProxy.js';
import { findPorts } from './findPorts.js';
import type { CrashReplacement } from './replaceCrashedTarget.js';
import { CRASH_RECOVERY_MS, replaceCrashedTarget } from './replaceCrashedTarget.js';
import type { ArrivalRecord, RetryLimit } from './retryWindows.js';
import type { GatewayPorts } from './SoakGateway.js';
import { SoakGateway } from './SoakGateway.js';
import type { SoakOrganisations } from './SoakOrganisations.js';
import type { SoakRoute } from './soakRoutes.js';
import {
  createSoakRoute,
  DEFAULT_ROUTES,
  EXEMPT_ROUTE,
  SERVICE,
  toPublishedRoute,
} from './soakRoutes.js';

export const ZONES = ['z-1', 'z-2', 'z-3'] as const;

const DEFAULT_GATEWAY_COUNT = 4;
const DEFAULT_MAX_TARGETS = 2;
const DEFAULT_SERVICE: SoakService = { name: SERVICE, targets: 6, slots: 4, workMs: 25 };

/** Last part of the loopback address that the connections of the first gateway come from. */
const FIRST_SOURCE = 11;

/** Difference between the seeds of two worlds, above the number of targets of one. */
const SEED_STEP = 1_000;

/** Pauses that targets ask for, in milliseconds; undefined for values that are no seconds. */
export const PAUSES_MS: Readonly<Record<string, number | undefined>> = {
  3: 3_000,
  1: 1_000,
  0.75: 750,
  2.5: 2_500,
  0: 0,
  soon: undefined,
  '-3': undefined,
};

/** A service of a soak. */
export interface SoakService {
  readonly name: string;
  readonly targets: number;
  /** Requests that a target runs at the same time. */
  readonly slots: number;
  /** Time that a request takes, in milliseconds. */
  readonly workMs: number;
}

/** Size and settings of a soak's platform. */
export interface SoakWorldOptions {
  readonly gateways?: number;
  readonly services?: readonly SoakService[];
  readonly routes?: readonly SoakRoute[];
  /** Maximum number of targets that a request is sent to. */
  readonly maxTargets?: number;
  /** Limit on retries in the gateways' settings; `RETRY_LIMIT` by default. */
  readonly retryLimit?: RetryLimit;
  /** Programs that the gateways run, in turn; that of this build by default. */
  readonly gatewayMains?: readonly string[];
  /** Organisations of the callers; undefined if they need no keys. */
  readonly organisations?: SoakOrganisations;
  /** Whether gateways can be cut off from each other. */
  readonly hasPeerCuts?: boolean;
  /** Seed of the random numbers of the targets; 0 by default. */
  readonly seed?: number;
  /** How targets that requests have crashed are replaced; at other addresses by default. */
  readonly replacement?: CrashReplacement;
  /** Whether a target answers 500 to the next request, without running it. */
  readonly failsNext?: () => boolean;
}

/** A target and the proxy in front of it. */
export interface SoakTarget {
  entry: TargetRegistration;
  readonly model: PlatformTarget;
  readonly link: FaultProxy;
}

/**
 * Returns a service of a soak with another number of targets.
 * @param targets - Number of targets.
 */
export function createSoakService(targets: number): SoakService {
  return { ...DEFAULT_SERVICE, targets };
}

/** Store, targets and gateways of a soak, and the fault proxies between them. */
export class SoakWorld {
  readonly store = new PlatformStore();

  readonly services: readonly SoakService[];

  /** Routes that a trial may replace; `publishConfiguration` puts them in force. */
  routes: readonly SoakRoute[];

  /** Organisations of the callers; undefined if they need no keys. */
  readonly organisations: SoakOrganisations | undefined;

  /** Content of the store before the gateways have started. */
  contentBeforeStart: StoreCopy | undefined;

  readonly gateways: SoakGateway[] = [];

  /** Proxies between gateways and store, in the order of `gateways`. */
  readonly storeLinks: FaultProxy[] = [];

  readonly targets: SoakTarget[] = [];

  readonly runs: RunRecord[] = [];

  /** Requests that reached a target, in order of time. */
  readonly arrivals: ArrivalRecord[] = [];

  /** What requests that reached a target said about their callers, in order of time. */
  readonly identities: IdentityRecord[] = [];

  readonly bans: Ban[] = [];

  /** Zones that a fault has taken out. */
  readonly zonesOut = new Set<string>();

  /** Limits that targets advertised, in order of time. */
  readonly namings: LimitChange[] = [];

  /** Requests that targets rejected and asked for a pause. */
  readonly pauses: PauseRecord[] = [];

  /** When the answers of a target began to state that it is shutting down. */
  readonly drains: TargetDrain[] = [];

  /** Targets that requests have crashed, in order of time. */
  readonly crashes: CrashRecord[] = [];

  /** Bodies of requests that crash the target that runs them. */
  readonly fatalBodies = new Set<string>();

  /** Periods in which the link to a target is disturbed, in Unix milliseconds. */
  readonly linkFaults: {
    readonly target: string;
    readonly from: number;
    readonly until: number;
  }[] = [];

  /** Ids of requests before whose answers a target has sent a copy of another one. */
  readonly copiesMet: string[] = [];

  /** Ids of requests whose answers a target has broken off. */
  readonly brokenOff = new Set<string>();

  /** Version of newly started targets, unless another one is given. */
  version = 'v1';

  /** Whether a rollout is in progress. */
  isRollingOut = false;

  /** @internal */
  private lastVersion = 1;

  /** Version of the published configuration. @internal */
  private configurationVersion = 1;

  /** @internal */
  private readonly extraRoutes: string[] = [];

  /** @internal */
  private startedTargets = 0;

  /** Modes of the paths from gateways to all targets, by source. @internal */
  private readonly pathModes = new Map<string, LinkMode>();

  /** @internal */
  private isStopped = false;

  /**
   * @param dir - Directory for settings and logs.
   * @param options - Size and settings.
   */
  constructor(
    private readonly dir: string,
    private readonly options: SoakWorldOptions = {},
  ) {
    this.services = options.services ?? [DEFAULT_SERVICE];
    this.organisations = options.organisations;
    const exemptRoutes = options.organisations === undefined ? [] : [EXEMPT_ROUTE];
    this.routes = [...(options.routes ?? DEFAULT_ROUTES), ...exemptRoutes];
  }

  /** Starts the store, the targets and the gateways. */
  async start(): Promise<void> {
    await this.store.start();
    this.publishConfiguration();
    for (const service of this.services) {
      for (let i = 0; i < service.targets; i++) {
        await this.addTarget(ZONES[i % ZONES.length], this.version, service);
      }
    }
    this.contentBeforeStart = this.store.copy();
    const { gateways: gatewayCount = DEFAULT_GATEWAY_COUNT } = this.options;
    const ports = await findPorts(gatewayCount * 5);
    for (let i = 0; i < gatewayCount; i++) {
      const [callers, readiness, addresses, peers, metrics] = ports.slice(i * 5, i * 5 + 5);
      await this.addGateway(i, { callers, readiness, addresses, peers, metrics });
    }
    for (const gateway of this.gateways) gateway.start();
  }

  /** Stops gateways, targets, proxies and store. */
  async stop(): Promise<void> {
    this.isStopped = true;
    for (const gateway of this.gateways) gateway.kill();
    for (const { model, link } of this.targets) {
      model.crash();
      link.stop();
    }
    for (const link of this.storeLinks) link.stop();
    await this.store.stop();
  }

  /** Whether all gateways run undisturbed, so that time limits apply to all of them. */
  get isCalm(): boolean {
    return this.gateways.every(
      (gateway) => gateway.isRunning && Date.now() > gateway.disturbedUntil,
    );
  }

  /** Returns a version name that no target has had. */
  createVersionName(): string {
    this.lastVersion += 1;
    return `v${this.lastVersion}`;
  }

  /** Publishes a configuration with an additional route and returns a path of that route. */
  addRoute(): string {
    const name = `extra-${this.configurationVersion}`;
    this.extraRoutes.push(name);
    this.publishConfiguration();
    return `/${name}/x`;
  }

  /** Starts a target under a new id and registers it. */
  async addTarget(
    zone: string,
    version = this.version,
    service: SoakService = this.services[0],
  ): Promise<SoakTarget> {
    const { id, bornAt, model } = this.createModel(version, service);
    const link = new FaultProxy(await model.start());
    for (const [source, mode] of this.pathModes) link.setModeFor(source, mode);
    const address = await link.start();
    const entry: TargetRegistration = {
      id,
      service: service.name,
      address,
      zone,
      version,
      bornAt,
      slots: service.slots,
      isDraining: false,
      coldMs: 0,
    };
    const target = { entry, model, link };
    this.targets.push(target);
    putTarget(this.store, entry);
    return target;
  }

  /**
   * Creates a target that is neither started nor registered.
   * @param version - Version of its software.
   * @param service - Its service.
   * @param knownId - Its id; a new one by default.
   */
  createModel(
    version: string,
    { name: service, slots, workMs }: SoakService,
    knownId?: string,
  ): { readonly id: string; readonly bornAt: number; readonly model: PlatformTarget } {
    this.startedTargets += 1;
    const bornAt = this.startedTargets;
    const id = knownId ?? `t-${bornAt}`;
    const model: PlatformTarget = new PlatformTarget({
      id,
      slots,
      workMs,
      failsNext: this.options.failsNext,
      random: createRandom((this.options.seed ?? 0) * SEED_STEP + bornAt),
      onRun: (requestId, source) =>
        this.runs.push({ id: requestId, target: id, version, source, at: Date.now() }),
      onCopyMet: (requestId) => this.copiesMet.push(requestId),
      setEndMode: (port, mode) =>
        this.targets.find((target) => target.model === model)?.link.setEndMode(port, mode),
      onBrokenOff: (requestId) => this.brokenOff.add(requestId),
      onArrival: (requestId) => this.arrivals.push({ id: requestId, service, at: Date.now() }),
      onIdentity: (requestId, identity) =>
        this.identities.push({ id: requestId, target: id, identity }),
      onPause: (requestId, source) =>
        this.pauses.push({
          id: requestId,
          target: id,
          source,
          at: Date.now(),
          pauseMs: PAUSES_MS[model.pause ?? ''],
        }),
      isFatal: (body) => this.fatalBodies.has(body),
      onCrash: (requestId) => this.replaceCrashed(id, requestId),
    });
    return { id, bornAt, model };
  }

  /**
   * Deregisters and stops a target; does nothing if it was removed before. Overlapping faults may
   * choose the same target: the second removal would drop another target from the list, and its
   * servers would keep the process from exiting.
   */
  removeTarget(target: SoakTarget): void {
    const index = this.targets.indexOf(target);
    if (index < 0) return;
    removeTarget(this.store, target.entry.id);
    this.targets.splice(index, 1);
    target.model.crash();
    target.link.stop();
  }

  /**
   * Changes the mode of the paths from a gateway to all targets.
   * @param gateway - The gateway.
   * @param mode - The mode; undefined to restore the paths.
   */
  setPathMode(gateway: SoakGateway, mode: LinkMode | undefined): void {
    const { source } = gateway.options;
    if (mode === undefined) this.pathModes.delete(source);
    else this.pathModes.set(source, mode);
    for (const { link } of this.targets) link.setModeFor(source, mode);
  }

  /**
   * Cuts gateways off from all others, in both directions; they still reach each other, the store and
   * the targets. Replaces an earlier cut.
   * @param apart - The gateways; none to restore all paths.
   */
  cutOffPeers(apart: readonly SoakGateway[]): void {
    const others = this.gateways.filter((each) => !apart.includes(each));
    for (const gateway of apart) gateway.cutOffFrom(others);
    for (const gateway of others) gateway.cutOffFrom(apart);
  }

  /**
   * Cuts a gateway off from all others, in both directions.
   * @param gateway - The gateway.
   */
  cutOffFromAll(gateway: SoakGateway): void {
    gateway.cutOffFrom(this.gateways.filter((each) => each !== gateway));
  }

  /**
   * Crashes a target without a request, and replaces it after a while.
   * @param target - The target.
   */
  crashTarget(target: SoakTarget): void {
    target.model.crash();
    this.replaceCrashed(target.entry.id, undefined);
  }

  /** Records a crash. Its target stays registered until another one takes its place. @internal */
  private replaceCrashed(id: string, requestId: string | undefined): void {
    this.crashes.push({ target: id, requestId, at: Date.now() });
    const crashed = this.targets.find(({ entry }) => entry.id === id);
    setTimeout(() => {
      if (this.isStopped || crashed === undefined || !this.targets.includes(crashed)) return;
      const { replacement = 'otherAddress' } = this.options;
      replaceCrashedTarget(this, crashed, replacement).catch(() => undefined);
    }, CRASH_RECOVERY_MS);
  }

  /** Publishes a configuration with the routes as they are now. */
  publishConfiguration(): void {
    this.configurationVersion += 1;
    const { maxTargets = DEFAULT_MAX_TARGETS } = this.options;
    const extraRoutes = this.extraRoutes.map((name) => createSoakRoute(name, true));
    const table = {
      version: this.configurationVersion,
      routes: [...this.routes, ...extraRoutes].map((route) => toPublishedRoute(route, maxTargets)),
      services: this.services.map(({ name }) => ({
        name,
        healthPath: '/health',
        maxConnections: 200,
        coldRequestsPerSecond: 5,
      })),
      limits: { bodyBytes: 1_000_000, headerTimeoutMs: 3_000, idleTimeoutMs: 10_000 },
    };
    putConfiguration(this.store, table, this.organisations?.list());
  }

  /** @internal */
  private async addGateway(index: number, ports: GatewayPorts): Promise<void> {
    const link = new FaultProxy(this.store.address);
    this.storeLinks.push(link);
    const storeAddress = await link.start();
    const name = `vm-${index + 1}`;
    const dir = join(this.dir, name);
    const zone = ZONES[index % ZONES.length];
    const source = `127.0.0.${FIRST_SOURCE + index}`;
    const { retryLimit, gatewayMains = [], hasPeerCuts: canBeCutOff } = this.options;
    const main = gatewayMains[index % gatewayMains.length];
    this.gateways.push(
      new SoakGateway({
        name,
        zone,
        ports,
        storeAddress,
        source,
        dir,
        retryLimit,
        main,
        canBeCutOff,
      }),
    );
  }
}
