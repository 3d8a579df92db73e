import type { VmAnnouncement, VmRoster } from '../balancing/index.js';

/**
 * Merges rosters into all announced entry VMs, by name.
 *
 * The roster of a VM itself takes precedence over entries for it in other rosters: a VM that has
 * moved announces its new address, and one that has left no longer lists itself, while the VM that
 * announced it on the first start of the fleet still does.
 * @param rosters - Rosters by the name of the VM that announced them.
 * @example
 * mergeRosters(new Map([['vm-1', { vms: [vm1, vm2] }]])).has('vm-2'); // true
 */
export function mergeRosters(rosters: ReadonlyMap<string, VmRoster>): Map<string, VmAnnouncement> {
  const merged = new Map<string, VmAnnouncement>();
  const announcers = [...rosters.keys()].sort();
  for (const announcer of announcers) {
    for (const vm of rosters.get(announcer)?.vms ?? []) {
      const isOwn = vm.name === announcer;
      if (isOwn || (!rosters.has(vm.name) && !merged.has(vm.name))) merged.set(vm.name, vm);
    }
  }
  return merged;
}
