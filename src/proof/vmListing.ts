import type { VmListEntry } from '../core/index.js';
import type { VirtualFleetOptions } from './VirtualFleet.js';

/**
 * The platform's rows for all VMs of a fleet.
 * @param options - What the fleet is made of.
 * @param leaving - Names of the VMs that leave.
 */
export function listVms(
  options: Pick<VirtualFleetOptions, 'services' | 'machines'>,
  leaving: readonly string[],
): VmListEntry[] {
  const getState = (name: string) => (leaving.includes(name) ? 'leaving' : 'live');
  const targets = options.services.flatMap((service) =>
    service.targets.map(({ id, zone, address }): VmListEntry => {
      const name = id.slice(id.indexOf('/') + 1);
      return { name, zone, ip: address, state: getState(name), service: service.name };
    }),
  );
  const machines = options.machines.map(({ name, zone }, index): VmListEntry => ({
    name,
    zone,
    ip: `10.0.0.${index}`,
    state: getState(name),
  }));
  return [...targets, ...machines];
}
