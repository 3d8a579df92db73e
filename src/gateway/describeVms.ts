import type { BalancerEvent, VmAnnouncement } from '../balancing/index.js';

/** What an entry VM knows of all entry VMs. */
export interface KnownVms {
  /** Name of this VM. */
  readonly self: string;
  /** Names of the VMs that the store lists. */
  readonly listed: readonly string[];
  /** Whether only a part of the list has been read. */
  readonly isPartial: boolean;
  /** VMs that do not answer this one. */
  readonly down: readonly string[];
}

/**
 * Describes the entry VMs to the balancer. A VM that the store does not list is not among those that
 * limits are shared by: the others do not count it.
 * @param known - What this VM knows of all VMs.
 * @example
 * describeVms({ self: 'vm-3', listed: ['vm-1', 'vm-2'], isPartial: false, down: ['vm-2'] });
 * // { kind: 'vmsChanged', vms: ['vm-1'], announced: ['vm-1', 'vm-2'], isPartial: false }
 */
export function describeVms({
  self,
  listed,
  isPartial,
  down,
}: KnownVms): Extract<BalancerEvent, { kind: 'vmsChanged' }> {
  const announced = [...listed].sort();
  const up = announced.filter((name) => !down.includes(name));
  const vms = up.length > 0 ? up : [self];
  return { kind: 'vmsChanged', vms, announced, isPartial: isPartial || listed.length === 0 };
}

/**
 * Returns the number of VMs that a limit on connections is divided by. A VM that the store does not
 * list opens only as many as it may in the largest fleet.
 * @param self - Name of this VM.
 * @param listed - Names of the VMs that the store lists.
 * @example
 * countSharingVms('vm-1', ['vm-1', 'vm-2']); // 2
 */
export function countSharingVms(self: string, listed: readonly string[]): number {
  return listed.includes(self) ? listed.length : Number.POSITIVE_INFINITY;
}

/**
 * Whether an IP address is that of an entry VM.
 * @param vms - The VMs that are known.
 * @param ip - The address.
 */
export function isVmAddress(vms: Iterable<VmAnnouncement>, ip: string): boolean {
  return [...vms].some(({ peers }) => peers.startsWith(`${ip}:`));
}
