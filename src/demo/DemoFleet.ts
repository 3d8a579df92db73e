import { randomUUID } from 'node:crypto';
import { join } from 'node:path';

import { parseEntrySettings, readConfigurationDir } from '../config/index.js';
import type { Assignment, TargetConfig, VmListEntry, ZoneState } from '../core/index.js';
import { EntryProcess } from '../entry/index.js';
import type { Logger } from '../logging/index.js';
import type { DesiredConfiguration } from '../publish/index.js';
import {
  AdminClient,
  ASSIGNMENT_KEY,
  Publisher,
  pushToEntryVms,
  waitUntilInForce,
} from '../publish/index.js';
import type { StoreServer, TargetServer, VmListServer } from '../standIns/http/index.js';
import { startStoreServer, startTargetServer, startVmListServer } from '../standIns/http/index.js';
import { StoreClient } from '../store/index.js';

import type { DemoSpec } from './DemoSpec.js';
import { createDemoError } from './errors.js';
import { findFreePorts } from './freePorts.js';
import type { Observations } from './Observations.js';

const TOKEN = 'token-of-the-demo';

const HOST = '127.0.0.1';

/** How long the fleet may take to find itself, in milliseconds. */
const START_TIMEOUT_MS = 20_000;

const PUBLISH_TIMEOUT_MS = 10_000;

const POLL_MS = 50;

/** The VM list lags this much in the demo, so that a short run can show a target leaving. */
const VM_LIST_LAG_MS = 300;

/** @param ms - Milliseconds. */
export function wait(ms: number): Promise<void> {
  return new Promise((resolve) => {
    setTimeout(resolve, ms);
  });
}

interface FleetParts {
  readonly spec: DemoSpec;
  readonly observed: Observations;
  readonly logger: Logger;
  readonly store: StoreServer;
  readonly vmList: VmListServer;
  readonly desired: DesiredConfiguration;
  readonly targets: ReadonlyMap<string, TargetServer>;
}

/** A running target and the description that names it. */
interface StartedTarget {
  readonly server: TargetServer;
  readonly config: TargetConfig;
}

async function startTarget(
  target: TargetConfig,
  parts: Pick<FleetParts, 'spec' | 'observed'> & { readonly desired: DesiredConfiguration },
): Promise<StartedTarget> {
  const service = parts.desired.services.find(({ name }) => name === target.service);
  const server = await startTargetServer({
    model: {
      id: target.id,
      slots: service?.capacity.slots ?? 1,
      connectionCostMs: service?.capacity.connectionCostMs ?? 1,
      probeCostMs: service?.probe.costMs ?? 1,
      meanServiceMs: parts.spec.serviceMs,
      startsCold: true,
    },
    probePath: service?.probe.path,
  });
  server.model.onStart = (start) => parts.observed.noteStart(start, target.zone);
  server.model.onOverloadCrash = () => {
    parts.observed.falls += 1;
  };
  return { server, config: { ...target, address: server.address } };
}

/** One deployment: platform, targets and entry processes on loopback. */
export class DemoFleet {
  /** By the address that callers use. */
  readonly entries = new Map<string, EntryProcess>();

  /** @internal */
  private generation = 0;

  /** @internal */
  private readonly client: StoreClient;

  /** @internal */
  private readonly admin = new AdminClient(TOKEN);

  /** @internal */
  private zoneStates: Readonly<Record<string, ZoneState>> = {};

  /** @internal */
  private constructor(private readonly parts: FleetParts) {
    const url = `http://${parts.store.address}`;
    this.client = new StoreClient({ url, timeoutMs: 2_000 });
  }

  /**
   * Starts everything and waits until the entry VMs know of one another.
   * @param spec - Deployment.
   * @param examples - Directory of the examples.
   * @param observed - Where what targets do is noted.
   * @param logger - For the entry processes.
   */
  static async start(
    spec: DemoSpec,
    examples: string,
    observed: Observations,
    logger: Logger,
  ): Promise<DemoFleet> {
    const declared = readConfigurationDir(join(examples, spec.directory));
    const all = declared.services.flatMap((service) => service.targets);
    const started = await Promise.all(
      all.map((target) => startTarget(target, { spec, observed, desired: declared })),
    );
    const services = declared.services.map((service) => ({
      ...service,
      targets: started.map(({ config }) => config).filter((t) => t.service === service.name),
    }));
    const fleet = new DemoFleet({
      spec,
      observed,
      logger,
      store: await startStoreServer(),
      vmList: await startVmListServer({ lagMs: VM_LIST_LAG_MS }),
      desired: { zones: declared.zones, services },
      targets: new Map(started.map(({ server, config }) => [config.id, server])),
    });
    await fleet.publish({});
    await fleet.startEntries();
    return fleet;
  }

  /** What the store counted and holds. */
  get store(): StoreServer['model'] {
    return this.parts.store.model;
  }

  /**
   * Finds a target.
   * @param id - Target.
   * @throws DemoError if there is none.
   */
  getTargetOrThrow(id: string): TargetServer['model'] {
    const server = this.parts.targets.get(id);
    if (!server) throw createDemoError(`no target is called ${id}; see the examples`);
    return server.model;
  }

  /**
   * Publishes the configuration with zones as given, and notes how long it takes.
   * @param states - Zones that change.
   * @param afterAcceptance - Called as soon as it is accepted.
   */
  async publish(
    states: Readonly<Record<string, ZoneState>>,
    afterAcceptance: () => void = () => {},
  ): Promise<void> {
    this.zoneStates = { ...this.zoneStates, ...states };
    const { desired, observed } = this.parts;
    const zones = desired.zones.map((zone) => ({
      ...zone,
      state: this.zoneStates[zone.name] ?? zone.state,
    }));
    const publisher = new Publisher({
      store: this.client,
      attempts: 8,
      wait,
      createNonce: randomUUID,
    });
    const base = { generation: this.generation };
    const result = await publisher.publish({ ...desired, zones }, base);
    this.generation = result.root.generation;
    afterAcceptance();
    if (this.entries.size === 0) return;
    const acceptedAt = performance.now();
    const addresses = [...this.entries.keys()];
    await pushToEntryVms(this.admin, addresses, result);
    const { generation } = this;
    const { missing } = await waitUntilInForce(this.admin, {
      generation,
      addresses,
      timeoutMs: PUBLISH_TIMEOUT_MS,
      wait,
    });
    const inForceAfterMs = missing.length > 0 ? undefined : performance.now() - acceptedAt;
    observed.publications.push({ generation, inForceAfterMs });
  }

  /** @param id - Target that the platform's VM list shows as leaving from now on. */
  markLeaving(id: string): void {
    const vms = this.parts.desired.services.flatMap(({ targets }) =>
      targets.map((target): VmListEntry => ({
        name: target.id.slice(target.service.length + 1),
        zone: target.zone,
        ip: HOST,
        state: target.id === id ? 'leaving' : 'live',
        service: target.service,
      })),
    );
    this.parts.vmList.model.setVms(vms);
  }

  /** Stops one entry VM gracefully; resolves once its process has ended. */
  async stopOneEntry(): Promise<void> {
    const [found] = this.entries;
    if (!found) return;
    const [address, entry] = found;
    const stop = { address, from: performance.now(), to: Number.POSITIVE_INFINITY };
    this.parts.observed.stops.push(stop);
    this.entries.delete(address);
    await entry.stop();
    stop.to = performance.now();
  }

  /** @param elapsedMs - Length of the run; notes what measuring took in it. */
  noteMeasuring(elapsedMs: number): void {
    const { observed, desired, targets } = this.parts;
    for (const service of desired.services) {
      const { probe, capacity } = service;
      // A budget that has been saved up may be spent at once: two probes.
      const allowedMs = probe.budgetShare * capacity.slots * elapsedMs + 2 * probe.costMs;
      for (const { id } of service.targets) {
        const probeMs = targets.get(id)?.model.probeMs ?? 0;
        observed.probes.push({ target: id, probeMs, allowedMs });
      }
    }
    const { callsBySecond: seconds } = this.store;
    observed.store = {
      writes: Math.max(0, ...seconds.map(({ writes }) => writes)),
      reads: Math.max(0, ...seconds.map(({ reads }) => reads)),
      allowedWrites: 300,
      allowedReads: 1_000,
    };
  }

  /** Ends everything at once. */
  async kill(): Promise<void> {
    await Promise.all([...this.entries.values()].map((entry) => entry.kill()));
    await this.client.close();
    await this.admin.close();
    const { store, vmList, targets } = this.parts;
    await Promise.all([store, vmList, ...targets.values()].map((server) => server.stop()));
  }

  /** @internal */
  private async startEntries(): Promise<void> {
    const { spec, desired, logger } = this.parts;
    const ports = await findFreePorts(spec.entryVms * 2);
    for (let i = 0; i < spec.entryVms; i += 1) {
      const zone = desired.zones[i % desired.zones.length];
      const text = this.writeSettings(`entry-${i + 1}`, zone, [ports[2 * i], ports[2 * i + 1]]);
      const settings = parseEntrySettings('demo.ini', text, String(i + 1));
      const entry = await EntryProcess.start(settings, { logger });
      this.entries.set(settings.core.self.address, entry);
    }
    await this.waitForMembers();
  }

  /** @internal */
  private writeSettings(
    vm: string,
    zone: { readonly name: string; readonly region: string },
    [callers, peers]: readonly number[],
  ): string {
    const { store, vmList } = this.parts;
    return `[process]
vm = ${vm}
zone = ${zone.name}
region = ${zone.region}
admin-token = ${TOKEN}
[listen]
callers = ${HOST}:${callers}
peers = ${HOST}:${peers}
[platform]
store = http://${store.address}
vm-list = http://${vmList.address}/vms
vm-list-period = 500ms
[fleet]
address-ttl = 1s
`;
  }

  /** @internal */
  private async waitForMembers(): Promise<void> {
    const end = performance.now() + START_TIMEOUT_MS;
    while (performance.now() < end) {
      const assignment = this.store.peek(ASSIGNMENT_KEY)?.value as Assignment | undefined;
      if (assignment?.members.length === this.entries.size) return;
      await wait(POLL_MS);
    }
    throw createDemoError(
      'the entry VMs did not find one another in time; the machine is too busy',
    );
  }
}
