import type { ServiceConfig, TargetConfig, ZoneConfig } from '../core/index.js';
import type { VirtualMachine } from './VirtualFleet.js';

/** A customer's fleet at its size of today, as the brief gives it. */
export interface Deployment {
  readonly name: DeploymentName;
  readonly zones: readonly ZoneConfig[];
  readonly services: readonly ServiceConfig[];
  readonly machines: readonly VirtualMachine[];
  /** Between a client and a VM, in milliseconds. */
  readonly clientHopMs: number;
}

export type DeploymentName = 'maree-boreale' | 'makaa';

/** What differs between the services of a deployment. */
export interface ServiceShape {
  readonly name: string;
  readonly targets: number;
  readonly slots: number;
  readonly maxConnections: number;
  readonly probeCostMs: number;
}

const PORT = 8_080;

function makeTargets(shape: ServiceShape, zones: readonly ZoneConfig[]): TargetConfig[] {
  return Array.from({ length: shape.targets }, (_, i) => ({
    id: `${shape.name}/${shape.name}-${i}`,
    service: shape.name,
    zone: zones[i % zones.length]?.name ?? '',
    address: `10.1.0.${i}:${PORT}`,
  }));
}

/**
 * A service as its file describes it, with the checker's defaults.
 * @param shape - What differs from other services.
 * @param zones - Zones that its targets are spread over.
 */
export function makeServiceConfig(
  shape: ServiceShape,
  zones: readonly ZoneConfig[],
): ServiceConfig {
  return {
    name: shape.name,
    capacity: { slots: shape.slots, maxConnections: shape.maxConnections, connectionCostMs: 1 },
    probe: { path: '/health', costMs: shape.probeCostMs, budgetShare: 0.01, idleMs: 1_000 },
    repeat: {
      methods: ['GET', 'HEAD'],
      refusedStatuses: [503],
      retryShare: 0.1,
      hedgeShare: 0.02,
      keyRetentionMs: 3_600_000,
    },
    queue: { maxLength: 100, standingMs: 50 },
    objective: { latencyMs: 100, share: 0.99 },
    timeoutMs: 5_000,
    port: PORT,
    targets: makeTargets(shape, zones),
  };
}

/**
 * Zones of one region, all in.
 * @param count - How many.
 */
export function makeZones(count: number): ZoneConfig[] {
  return Array.from({ length: count }, (_, i) => ({
    name: `zone-${String.fromCharCode(97 + i)}`,
    region: 'region',
    state: 'in' as const,
  }));
}

/**
 * Machines for entry VMs, spread over zones.
 * @param count - How many.
 * @param zones - The zones.
 */
export function makeMachines(count: number, zones: readonly ZoneConfig[]): VirtualMachine[] {
  return Array.from({ length: count }, (_, i) => ({
    name: `entry-${i}`,
    zone: zones[i % zones.length]?.name ?? '',
  }));
}

const ENTRY_VMS = 17;

const SHAPES: Readonly<
  Record<DeploymentName, { zones: number; clientHopMs: number; services: readonly ServiceShape[] }>
> = {
  'maree-boreale': {
    zones: 3,
    clientHopMs: 8,
    services: [
      { name: 'horaires', targets: 12, slots: 2, maxConnections: 200, probeCostMs: 1 },
      { name: 'plongee', targets: 6, slots: 2, maxConnections: 200, probeCostMs: 1 },
      { name: 'billetterie', targets: 10, slots: 2, maxConnections: 200, probeCostMs: 1 },
    ],
  },
  makaa: {
    zones: 4,
    clientHopMs: 1,
    services: [
      { name: 'bei', targets: 14, slots: 6, maxConnections: 250, probeCostMs: 6 },
      { name: 'safari', targets: 8, slots: 6, maxConnections: 250, probeCostMs: 6 },
      { name: 'hesabu', targets: 14, slots: 6, maxConnections: 250, probeCostMs: 6 },
    ],
  },
};

/**
 * One of the brief's two deployments.
 * @param name - Which.
 * @example
 * const { services } = makeDeployment('makaa');
 */
export function makeDeployment(name: DeploymentName): Deployment {
  const shape = SHAPES[name];
  const zones = makeZones(shape.zones);
  return {
    name,
    zones,
    services: shape.services.map((service) => makeServiceConfig(service, zones)),
    machines: makeMachines(ENTRY_VMS, zones),
    clientHopMs: shape.clientHopMs,
  };
}
