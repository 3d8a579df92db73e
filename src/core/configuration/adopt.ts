import type { Effect } from '../effects.js';
import type { EntryState } from '../EntryState.js';
import type {
  ConfigRoot,
  ServiceConfig,
  ServiceName,
  TargetConfig,
  VmListEntry,
} from '../model/index.js';

const NO_VMS: readonly VmListEntry[] = [];

/** Makes the targets of a service that declares none, from the VMs that the platform lists. */
function makeTargetsFromVms(
  service: ServiceConfig,
  vms: readonly VmListEntry[],
): readonly TargetConfig[] {
  return vms
    .filter((vm) => vm.state === 'live')
    .map((vm) => ({
      id: `${service.name}/${vm.name}`,
      service: service.name,
      zone: vm.zone,
      address: `${vm.ip}:${service.port}`,
    }));
}

/** Returns the targets that a service's file declares, without those listed as leaving. */
function getDeclaredTargets(
  service: ServiceConfig,
  leavingVms: ReadonlySet<string>,
): readonly TargetConfig[] {
  const start = service.name.length + 1;
  return service.targets.filter((target) => !leavingVms.has(target.id.slice(start)));
}

function isSameTarget(a: TargetConfig, b: TargetConfig | undefined): boolean {
  return a.id === b?.id && a.address === b.address && a.zone === b.zone;
}

/**
 * Recomputes the targets of the given services and returns the services whose list changed. Other
 * services are not visited: with many of them, each change would block the event loop for
 * milliseconds.
 * @param state - The process's state.
 * @param names - The services.
 */
export function refreshTargets(state: EntryState, names: Iterable<ServiceName>): ServiceName[] {
  const { leavingVms, services, targets, vmsByService } = state.configuration;
  const changed: ServiceName[] = [];
  for (const name of names) {
    const service = services.get(name);
    if (service === undefined) continue;
    const next =
      service.targets.length > 0
        ? getDeclaredTargets(service, leavingVms)
        : makeTargetsFromVms(service, vmsByService.get(name) ?? NO_VMS);
    const previous = targets.get(name);
    const isSame =
      previous?.length === next.length && next.every((each, i) => isSameTarget(each, previous[i]));
    if (isSame) continue;
    targets.set(name, next);
    changed.push(name);
  }
  return changed;
}

/**
 * Stores the latest VM list, grouped by service.
 * @param state - The process's state.
 * @param vms - The list.
 */
export function setVmList(state: EntryState, vms: readonly VmListEntry[]): void {
  const { configuration } = state;
  const byService = new Map<ServiceName, VmListEntry[]>();
  const leaving = new Set<string>();
  for (const vm of vms) {
    if (vm.state === 'leaving') leaving.add(vm.name);
    if (vm.service === undefined) continue;
    const serviceVms = byService.get(vm.service);
    if (serviceVms === undefined) byService.set(vm.service, [vm]);
    else serviceVms.push(vm);
  }
  configuration.vms = vms;
  configuration.vmsByService = byService;
  configuration.leavingVms = leaving;
}

/** Returns the services of a root whose objects this process lacks. */
export function getMissingServices(
  state: EntryState,
  root: ConfigRoot,
): { name: ServiceName; hash: string }[] {
  return Object.entries(root.services)
    .filter(([, hash]) => !state.configuration.objects.has(hash))
    .map(([name, hash]) => ({ name, hash }));
}

function applyRoot(state: EntryState, root: ConfigRoot): ServiceName[] {
  const { configuration } = state;
  const changed = new Set<ServiceName>();
  for (const name of configuration.services.keys()) {
    if (root.services[name] !== undefined) continue;
    configuration.services.delete(name);
    configuration.targets.delete(name);
    changed.add(name);
  }
  for (const [name, hash] of Object.entries(root.services)) {
    if (configuration.root?.services[name] === hash) continue;
    const object = configuration.objects.get(hash);
    if (object === undefined) continue;
    configuration.services.set(name, object.service);
    changed.add(name);
  }
  configuration.zones.clear();
  for (const zone of root.zones) configuration.zones.set(zone.name, zone);
  configuration.root = root;
  return [...changed];
}

/** Drops service objects that neither the configuration in force nor the next one names. */
function removeUnusedObjects(state: EntryState): void {
  const { next, objects, root } = state.configuration;
  const used = new Set([
    ...Object.values(root?.services ?? {}),
    ...Object.values(next?.services ?? {}),
  ]);
  for (const hash of objects.keys()) if (!used.has(hash)) objects.delete(hash);
}

/**
 * Puts a configuration into force. All of its service objects must be present.
 * @param state - The process's state.
 * @param root - The accepted root.
 */
export function adoptConfiguration(state: EntryState, root: ConfigRoot): Effect[] {
  const { configuration } = state;
  const changed = new Set(applyRoot(state, root));
  for (const name of refreshTargets(state, [...changed])) changed.add(name);
  configuration.current = {
    generation: root.generation,
    zones: root.zones,
    services: [...configuration.services.values()],
  };
  configuration.next = undefined;
  configuration.fetches.clear();
  removeUnusedObjects(state);
  return [
    {
      kind: 'log',
      level: 'info',
      part: 'config',
      text: `generation ${root.generation} is in force`,
    },
    {
      kind: 'raise',
      event: {
        kind: 'configurationAdopted',
        config: configuration.current,
        changed: [...changed],
      },
    },
  ];
}
