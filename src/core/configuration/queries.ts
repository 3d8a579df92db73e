import type { EntryState } from '../EntryState.js';
import type { ServiceConfig, ServiceName, TargetConfig, ZoneName } from '../model/index.js';

/**
 * Returns a service of the configuration in force.
 * @param state - The process's state.
 * @param name - The service's name.
 */
export function getService(state: EntryState, name: ServiceName): ServiceConfig | undefined {
  return state.configuration.services.get(name);
}

/**
 * Returns the current targets of a service, without leaving ones.
 * @param state - The process's state.
 * @param name - The service's name.
 */
export function getTargetsOf(state: EntryState, name: ServiceName): readonly TargetConfig[] {
  return state.configuration.targets.get(name) ?? [];
}

/**
 * Whether operators have taken a zone out. A zone missing from the configuration is out.
 * @param state - The process's state.
 * @param zone - The zone's name.
 */
export function isZoneOut(state: EntryState, zone: ZoneName): boolean {
  return state.configuration.zones.get(zone)?.state !== 'in';
}

/**
 * Returns the latest generation that this process knows to be accepted. It may not be in force yet,
 * while its service objects are being fetched.
 * @param state - The process's state.
 */
export function getKnownGeneration({ configuration }: EntryState): number {
  const { current, next, rootGeneration } = configuration;
  return Math.max(current.generation, next?.generation ?? 0, rootGeneration);
}
