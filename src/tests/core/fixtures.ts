import type {
  ConfigRoot,
  CoreSettings,
  EntryState,
  ServiceConfig,
  ServiceObject,
} from '../../core/index.js';
import { DEFAULT_CORE_SETTINGS } from '../../core/index.js';

/** Creates the settings of an entry process in zone `a`. */
export function makeCoreSettings(changes: Partial<CoreSettings> = {}): CoreSettings {
  return {
    ...DEFAULT_CORE_SETTINGS,
    self: { id: 'vm1#1', zone: 'a', address: '127.0.0.1:8001', peerAddress: '127.0.0.1:9001' },
    region: 'north',
    ...changes,
  };
}

/** Creates a service with targets in zone `a` that have two slots each. */
export function makeService(name: string, targetCount: number): ServiceConfig {
  return {
    name,
    capacity: { slots: 2, maxConnections: 200, connectionCostMs: 1 },
    probe: { path: '/health', costMs: 1, budgetShare: 0.01, idleMs: 1_000 },
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
    port: 8080,
    targets: Array.from({ length: targetCount }, (_, i) => ({
      id: `${name}/t${i}`,
      service: name,
      zone: 'a',
      address: `127.0.0.1:${10_000 + i}`,
    })),
  };
}

/** Creates a configuration of the given services, with zone `a` in. */
export function makeConfiguration(
  generation: number,
  services: readonly ServiceConfig[],
): { root: ConfigRoot; services: ServiceObject[] } {
  const objects = services.map((service) => ({
    hash: `${service.name}-${generation}`,
    service,
  }));
  return {
    root: {
      generation,
      zones: [{ name: 'a', region: 'north', state: 'in' }],
      services: Object.fromEntries(objects.map(({ hash, service }) => [service.name, hash])),
      nonce: `n${generation}`,
    },
    services: objects,
  };
}

/**
 * Makes a process the sole member of a fleet, with a lease and a configuration confirmation that
 * never expire. It drives all targets. For tests of parts that do not depend on membership.
 */
export function makeSoleMember(state: EntryState): void {
  const { self } = state.settings;
  state.fleet.assignment = { epoch: 1, members: [self], earlier: [], nonce: 'alone' };
  state.fleet.leaseEnd = Number.POSITIVE_INFINITY;
  state.configuration.confirmedAt = Number.POSITIVE_INFINITY;
}
