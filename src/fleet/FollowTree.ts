import { hashText } from '../core/hash.js';
import type { ZoneName } from '../core/model/index.js';

/**
 * VMs that watch the store for all others. Each call to the store is billed, and so is each watch
 * that returns; the second watcher takes over when the first one is lost.
 */
const WATCHER_COUNT = 2;

/**
 * Most VMs that follow one VM. If all VMs followed the two watchers, the links of these would be
 * saturated, and all others would find their data stale and watch the store directly.
 */
const MAX_FOLLOWERS = 8;

/**
 * VMs with a slower link than this come last in the order, in Mbit/s, so that they don't watch the
 * store and few of them are followed. To a watcher with 7 Mbit/s a configuration of 1,900 routes
 * takes 0.7 s, on top of the 0.7 s that a watch may wait, and all 142 VMs found its data stale;
 * with 50 Mbit/s it takes 0.1 s.
 */
const STRONG_LINK_MBPS = 50;

/** A VM in the tree. */
export interface TreeVm {
  readonly name: string;
  readonly zone: ZoneName;
  /** Where other entry VMs connect: IP number and port. */
  readonly peers: string;
  /** Bandwidth of its network link, in Mbit/s; 0 if not known. */
  readonly linkMbps: number;
}

/** Position of a VM in the tree. */
export interface TreePosition {
  /** Whether it watches the store for the others. */
  readonly isWatcher: boolean;
  /**
   * The VM to follow; for a watcher the one to follow if its own watches are stale. Undefined if
   * there is no other VM.
   */
  readonly source: TreeVm | undefined;
  /** Number of VMs between the source and a watcher. */
  readonly hops: number;
}

/** VMs of one zone that follow watchers directly. */
interface DirectFollowers {
  /** Watchers over which these VMs are distributed in turn. */
  readonly watchers: readonly TreeVm[];
  /** Number of these VMs. */
  readonly count: number;
}

/**
 * Returns which watchers the VMs of a zone follow directly. Watchers in the zone take as many of
 * its VMs as `MAX_FOLLOWERS` allows besides the followers from other zones. In a zone without
 * watchers only one VM follows a watcher, since each VM that does transfers all changes between
 * zones.
 */
function getDirectFollowers(sorted: readonly TreeVm[], zone: ZoneName): DirectFollowers {
  const watchers = sorted.slice(0, WATCHER_COUNT);
  const zoneWatchers = watchers.filter((vm) => vm.zone === zone);
  const watcherZones = new Set(watchers.map((vm) => vm.zone));
  const otherZones = [...new Set(sorted.map((vm) => vm.zone))]
    .filter((each) => !watcherZones.has(each))
    .sort();
  if (zoneWatchers.length === 0) {
    return { watchers: [watchers[otherZones.indexOf(zone) % watchers.length]], count: 1 };
  }
  const followersPerWatcher = Math.max(
    1,
    MAX_FOLLOWERS - Math.ceil(otherZones.length / watchers.length),
  );
  return { watchers: zoneWatchers, count: zoneWatchers.length * followersPerWatcher };
}

/** Rank within the zone of the VM that the VM at `rank` follows. */
function getParentRank(rank: number, directCount: number): number {
  return Math.floor((rank - directCount) / MAX_FOLLOWERS);
}

/** Number of VMs between the source of the VM at `rank` and a watcher. */
function getDepth(rank: number, directCount: number): number {
  return rank < directCount ? 0 : 1 + getDepth(getParentRank(rank, directCount), directCount);
}

/**
 * Makes entries for the seeds, of which only the addresses are known. They get the zone of this VM,
 * since theirs are unknown, and its link bandwidth: with a slower link they would come after it in
 * the order, and every VM that restarts during a store outage would become a watcher.
 * @param addresses - Peer addresses of the seeds.
 * @param self - This VM.
 */
export function makeSeedVms(
  addresses: readonly string[],
  { zone, linkMbps }: Pick<TreeVm, 'zone' | 'linkMbps'>,
): TreeVm[] {
  return addresses.map((peers) => ({ name: peers, zone, peers, linkMbps }));
}

/**
 * Sorts VMs by a hash of their names, those with slow links last. Every VM computes the same order.
 * @param vms - The VMs.
 */
export function sortVmsForTree(vms: readonly TreeVm[]): readonly TreeVm[] {
  return vms
    .map((vm) => ({
      vm,
      tier: vm.linkMbps >= STRONG_LINK_MBPS ? 0 : 1,
      hash: hashText(vm.name),
    }))
    .sort((a, b) => a.tier - b.tier || a.hash - b.hash)
    .map(({ vm }) => vm);
}

/**
 * Finds the position of a VM in the distribution tree. The first VMs in the order watch the store.
 * Of the others, the first ones of each availability zone follow a watcher, and the rest follow a
 * VM of their own zone that comes before them, at most `MAX_FOLLOWERS` each.
 *
 * Each change is thus sent to a zone once, however many VMs it has. Traffic between zones is
 * billed, and with a single tree over five zones four of five transfers would cross zones.
 * @param sorted - VMs in tree order, without those that are avoided.
 * @param name - Name of the VM, which is in `sorted`.
 * @example
 * findTreePosition(sortVmsForTree(vms), 'vm-7').source?.peers;
 */
export function findTreePosition(sorted: readonly TreeVm[], name: string): TreePosition {
  const rank = sorted.findIndex((vm) => vm.name === name);
  if (sorted.length === 1) return { isWatcher: true, source: undefined, hops: 0 };
  if (rank < WATCHER_COUNT) return { isWatcher: true, source: sorted[rank === 0 ? 1 : 0], hops: 0 };
  const { zone } = sorted[rank];
  const zoneVms = sorted.slice(WATCHER_COUNT).filter((vm) => vm.zone === zone);
  const zoneRank = zoneVms.findIndex((vm) => vm.name === name);
  const { watchers, count } = getDirectFollowers(sorted, zone);
  const source =
    zoneRank < count
      ? watchers[zoneRank % watchers.length]
      : zoneVms[getParentRank(zoneRank, count)];
  return { isWatcher: false, source, hops: getDepth(zoneRank, count) };
}
