import type { ConfigRoot, ServiceConfig, ServiceObject, ZoneConfig } from '../core/index.js';
import type { VirtualFleet } from './VirtualFleet.js';
import type { VirtualVm } from './VirtualVm.js';

/**
 * Publishes a configuration by conditional update, as the publishing step does.
 * @param fleet - The fleet whose store takes it.
 * @param generation - Its generation; the update is from the one before.
 * @param zones - Zones and their states.
 * @param services - All services.
 * @returns Whether it was accepted.
 */
export function publish(
  fleet: VirtualFleet,
  generation: number,
  zones: readonly ZoneConfig[],
  services: readonly ServiceConfig[],
): boolean {
  const { store } = fleet;
  const objects = services.map((service): ServiceObject => ({
    hash: `${service.name}-${generation}`,
    service,
  }));
  for (const object of objects) {
    const key = `config/services/${object.service.name}/${object.hash}`;
    store.call({ op: 'put', key, value: object, expect: 0 }, () => {});
  }
  const root: ConfigRoot = {
    generation,
    zones,
    services: Object.fromEntries(objects.map(({ hash, service }) => [service.name, hash])),
    nonce: `n${generation}`,
  };
  const expect = store.peek('config/root')?.version ?? 0;
  store.call({ op: 'put', key: 'config/root', value: root, expect }, () => {});
  const written = store.peek('config/root')?.value as ConfigRoot | undefined;
  if (written?.nonce !== root.nonce) return false;
  fleet.observe({ kind: 'accepted', root });
  return true;
}

/**
 * Hands the accepted configuration to a process directly, as the publishing step may do.
 * @param fleet - The fleet.
 * @param vm - The process.
 */
export function pushConfiguration(fleet: VirtualFleet, vm: VirtualVm): void {
  const { store } = fleet;
  const root = store.peek('config/root')?.value as ConfigRoot | undefined;
  if (root === undefined) return;
  const services = Object.entries(root.services).map(
    ([name, hash]) => store.peek(`config/services/${name}/${hash}`)?.value as ServiceObject,
  );
  vm.dispatch({ kind: 'configurationPushed', root, services });
}
