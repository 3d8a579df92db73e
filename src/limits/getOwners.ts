import { hashText } from '../core/hash.js';

/**
 * The VMs that share out what a target takes, the same at all VMs that know the same VMs (rendezvous
 * hashing): when a VM goes, only what it owned moves.
 * @param key - The target.
 * @param vms - Names of the entry VMs that are up.
 * @param count - How many own it.
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
