import type { VmEntry, VmRoster } from '../balancing/index.js';

/**
 * All entry VMs that are announced, by name.
 *
 * A VM's own announcement goes before what others said of it: one that has moved to another address
 * says so itself, and one that has left no longer names itself, although the VM that announced it when
 * all started together still does.
 * @param rosters - By the VM that made them.
 * @example
 * mergeRosters(new Map([['vm-1', { vms: [vm1, vm2] }]])).has('vm-2'); // true
 */
export function mergeRosters(rosters: ReadonlyMap<string, VmRoster>): Map<string, VmEntry> {
  const merged = new Map<string, VmEntry>();
  const announcers = [...rosters.keys()].sort();
  for (const announcer of announcers) {
    for (const vm of rosters.get(announcer)?.vms ?? []) {
      const isOwn = vm.name === announcer;
      if (isOwn || (!rosters.has(vm.name) && !merged.has(vm.name))) merged.set(vm.name, vm);
    }
  }
  return merged;
}
