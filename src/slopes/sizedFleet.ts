import type { ConfigRoot, CoreSettings, Member, ServiceObject } from '../core/index.js';
import { DEFAULT_CORE_SETTINGS } from '../core/index.js';
import { makeServiceConfig, makeZones } from '../proof/deployments.js';

/** How large a made-up fleet is. */
export interface FleetSize {
  readonly services: number;
  readonly targetsPerService: number;
  readonly zones: number;
}

/** A configuration as the publishing step would push it. */
export interface SizedConfiguration {
  readonly root: ConfigRoot;
  readonly services: ServiceObject[];
}

const HASH_LENGTH = 64;

const PROBE_COST_MS = 1;
const MAX_CONNECTIONS = 200;
const SLOTS = 2;

/**
 * Makes a configuration of a given size.
 * @param size - How many services, targets and zones.
 * @param generation - Number of the configuration.
 */
export function makeSizedConfiguration(size: FleetSize, generation: number): SizedConfiguration {
  const zones = makeZones(size.zones);
  const services = Array.from({ length: size.services }, (_, index) => {
    const shape = {
      name: `service-${index}`,
      targets: size.targetsPerService,
      slots: SLOTS,
      maxConnections: MAX_CONNECTIONS,
      probeCostMs: PROBE_COST_MS,
    };
    const service = makeServiceConfig(shape, zones);
    return { hash: `${generation}-${index}`.padEnd(HASH_LENGTH, '0'), service };
  });
  const root: ConfigRoot = {
    generation,
    zones,
    services: Object.fromEntries(services.map(({ hash, service }) => [service.name, hash])),
    nonce: `nonce-${generation}`,
  };
  return { root, services };
}

/**
 * Makes a member with a name of the usual length.
 * @param index - Number of the member.
 * @param zones - Zones that members are spread over.
 */
export function makeMember(index: number, zones: number): Member {
  return {
    id: `entry-${index}#${(index * 7_919).toString(16).padStart(12, '0')}`,
    zone: makeZones(zones)[index % zones]?.name ?? '',
    address: `10.0.${index % 250}.1:8000`,
    peerAddress: `10.0.${index % 250}.1:9000`,
  };
}

/** Settings of the first member of a made-up fleet. */
export function makeSizedSettings(): CoreSettings {
  return { ...DEFAULT_CORE_SETTINGS, self: makeMember(0, 1), region: 'north' };
}
