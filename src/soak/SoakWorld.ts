import { join } from 'node:path';

import type { RoutingTable, TargetRegistration } from '../balancing/index.js';
import type { LimitNaming } from '../lab/index.js';
import {
  PlatformStore,
  PlatformTarget,
  putConfiguration,
  putTarget,
  removeTarget,
} from '../platform/standIn/index.js';
import type { Ban, RunRecord } from './checkSoak.js';
import { FaultProxy } from './FaultProxy.js';
import { findPorts } from './findPorts.js';
import type { GatewayPorts } from './SoakGateway.js';
import { SoakGateway } from './SoakGateway.js';

export const ZONES = ['z-1', 'z-2', 'z-3'] as const;

/** The only service. */
export const SERVICE = 'soak';

const GATEWAYS = 4;
const TARGETS = 6;
const SLOTS = 4;
const WORK_MS = 25;

/** A target with the link to it. */
export interface SoakTarget {
  entry: TargetRegistration;
  readonly model: PlatformTarget;
  readonly link: FaultProxy;
}

function makeRoute(name: string, isIdempotent: boolean): RoutingTable['routes'][number] {
  return {
    name,
    host: 'soak.example',
    pathPrefix: `/${name}/`,
    isIdempotent,
    objectiveMs: 300,
    priority: 1,
    services: [{ service: 'soak', weight: 1 }],
    timeoutMs: 1_500,
    maxTargets: 2,
  };
}

/** Store, targets and gateways of a soak, with the links between them. */
export class SoakWorld {
  readonly store = new PlatformStore();

  readonly gateways: SoakGateway[] = [];

  /** Links from the gateways to the store, in their order. */
  readonly storeLinks: FaultProxy[] = [];

  readonly targets: SoakTarget[] = [];

  readonly runs: RunRecord[] = [];

  readonly bans: Ban[] = [];

  /** Limits that targets named, in order. */
  readonly namings: LimitNaming[] = [];

  /** Version that targets are started with. */
  version = 'v1';

  /** Whether operators are moving to another one. */
  isRollingOut = false;

  /** @internal */
  private lastVersion = 1;

  /** Version of the configuration. @internal */
  private configuration = 1;

  /** @internal */
  private readonly extraRoutes: string[] = [];

  /** @internal */
  private born = 0;

  /**
   * @param dir - Folder for settings and logs.
   * @param gatewayCount - Gateways to run.
   */
  constructor(
    private readonly dir: string,
    private readonly gatewayCount = GATEWAYS,
  ) {}

  /** Starts everything. */
  async start(): Promise<void> {
    await this.store.start();
    this.configure();
    for (let i = 0; i < TARGETS; i++) await this.addTarget(ZONES[i % ZONES.length]);
    const ports = await findPorts(this.gatewayCount * 5);
    for (let i = 0; i < this.gatewayCount; i++) {
      const [callers, readiness, addresses, peers, metrics] = ports.slice(i * 5, i * 5 + 5);
      await this.addGateway(i, { callers, readiness, addresses, peers, metrics });
    }
    for (const gateway of this.gateways) gateway.start();
  }

  /** Ends everything that was started here. */
  async stop(): Promise<void> {
    for (const gateway of this.gateways) gateway.kill();
    for (const { model, link } of this.targets) {
      model.crash();
      link.stop();
    }
    for (const link of this.storeLinks) link.stop();
    await this.store.stop();
  }

  /** A stretch of time in which no gateway was disturbed, so that bounds hold for all of them. */
  get isCalm(): boolean {
    return this.gateways.every((gateway) => gateway.isUp && Date.now() > gateway.disturbedUntil);
  }

  /** Name of a version that no target had. */
  nextVersion(): string {
    this.lastVersion += 1;
    return `v${this.lastVersion}`;
  }

  /** Puts a configuration with one more route into force; gives the route's path. */
  addRoute(): string {
    const name = `extra-${this.configuration}`;
    this.extraRoutes.push(name);
    this.configure();
    return `/${name}/x`;
  }

  /** Starts a target under a new id and registers it. */
  async addTarget(zone: string, version = this.version): Promise<SoakTarget> {
    this.born += 1;
    const id = `t-${this.born}`;
    const model = new PlatformTarget({
      id,
      slots: SLOTS,
      workMs: WORK_MS,
      onRun: (requestId) => this.runs.push({ id: requestId, target: id, version, at: Date.now() }),
    });
    const link = new FaultProxy(await model.start());
    const address = await link.start();
    const entry: TargetRegistration = {
      id,
      service: 'soak',
      address,
      zone,
      version,
      bornAt: this.born,
      slots: SLOTS,
      isDraining: false,
      coldMs: 0,
    };
    const target = { entry, model, link };
    this.targets.push(target);
    putTarget(this.store, entry);
    return target;
  }

  /**
   * Takes a target away, at once or after it has drained; one that is gone already stays so. Faults
   * overlap and may choose the same target: the second one would take another off the list, whose
   * servers then keep the process from ending.
   */
  removeTarget(target: SoakTarget): void {
    const index = this.targets.indexOf(target);
    if (index < 0) return;
    removeTarget(this.store, target.entry.id);
    this.targets.splice(index, 1);
    target.model.crash();
    target.link.stop();
  }

  /** @internal */
  private configure(): void {
    this.configuration += 1;
    putConfiguration(this.store, {
      version: this.configuration,
      routes: [
        makeRoute('read', true),
        makeRoute('book', false),
        ...this.extraRoutes.map((name) => makeRoute(name, true)),
      ],
      services: [
        { name: 'soak', healthPath: '/health', maxConnections: 200, coldRequestsPerSecond: 5 },
      ],
      limits: { bodyBytes: 1_000_000, headerTimeoutMs: 3_000, idleTimeoutMs: 10_000 },
    });
  }

  /** @internal */
  private async addGateway(index: number, ports: GatewayPorts): Promise<void> {
    const link = new FaultProxy(this.store.address);
    this.storeLinks.push(link);
    const storeAddress = await link.start();
    const name = `vm-${index + 1}`;
    const dir = join(this.dir, name);
    const zone = ZONES[index % ZONES.length];
    this.gateways.push(new SoakGateway({ name, zone, ports, storeAddress, dir }));
  }
}
