import { hashText } from '../core/hash.js';

/**
 * Selects the VMs that share a target's capacity between them, by rendezvous hashing. All VMs that
 * know the same VMs select the same owners, and when a VM fails only its own share moves.
 * @param key - Key of the target.
 * @param vms - Names of the entry VMs that are up.
 * @param count - Number of owners to select.
 * @example
 * getOwners('t-1', ['vm-a', 'vm-b', 'vm-c', 'vm-d'], 3).length; // 3
 */
export function getOwners(key: string, vms: readonly string[], count: number): readonly string[] {
  return vms
    .map((vm) => ({ vm, weight: hashText(`${vm}|${key}`) }))
    .sort((a, b) => b.weight - a.weight)
    .slice(0, count)
    .map(({ vm }) => vm);
}
