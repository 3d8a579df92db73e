import { hashText } from '../core/hash.js';
import type { ZoneName } from '../core/model/index.js';

/**
 * VMs that watch the store for all others. Calls to the store are paid for one by one, and each
 * watch that ends is one; a second watcher takes over when the first is lost.
 */
const WATCHERS = 2;

/**
 * VMs that follow one VM. With all VMs following two, the links of those two are choked, everyone finds
 * their word stale and watches the store directly.
 */
const FOLLOWERS = 8;

/**
 * VMs with a weaker link than this come last in the order, in Mbit/s: none of them watches, and few
 * are followed. A configuration of 1,900 routes takes 0.7 s from the store to a watcher on 7 Mbit/s, on
 * top of the 0.7 s that a watch may wait, and all 142 VMs found its word stale; on 50 it takes 0.1 s.
 */
const STRONG_LINK_MBPS = 50;

/** A VM that may be followed. */
export interface FollowedVm {
  readonly name: string;
  readonly zone: ZoneName;
  /** Where other entry VMs connect: IP number and port. */
  readonly peers: string;
  /** Bandwidth of its network link, in Mbit/s; 0 if not known. */
  readonly linkMbps: number;
}

/** Where a VM stands, and whom it follows. */
export interface TreePlace {
  /** Whether it watches the store for others. */
  readonly isWatcher: boolean;
  /** The VM that it follows, or may turn to if it is a watcher; undefined if it is the only one. */
  readonly source: FollowedVm | undefined;
  /** VMs between the one that it follows and the store's watchers. */
  readonly hops: number;
}

/** Who follows the watchers directly. */
interface FirstRow {
  /** Watchers that the zone's first VMs follow, in turn. */
  readonly watchers: readonly FollowedVm[];
  /** How many of the zone's VMs follow them. */
  readonly count: number;
}

/**
 * Where a zone has watchers, they are followed by as many VMs of it as they have room for. Any other
 * zone has one VM that follows a watcher, since each one that does has all changes cross between zones.
 */
function getFirstRow(order: readonly FollowedVm[], zone: ZoneName): FirstRow {
  const watchers = order.slice(0, WATCHERS);
  const ofZone = watchers.filter((vm) => vm.zone === zone);
  const near = new Set(watchers.map((vm) => vm.zone));
  const far = [...new Set(order.map((vm) => vm.zone))].filter((each) => !near.has(each)).sort();
  if (ofZone.length === 0) {
    return { watchers: [watchers[far.indexOf(zone) % watchers.length]], count: 1 };
  }
  const room = Math.max(1, FOLLOWERS - Math.ceil(far.length / watchers.length));
  return { watchers: ofZone, count: ofZone.length * room };
}

/** Rank of the VM that the one of a rank follows, among the VMs of one zone. */
function getParent(rank: number, firstRow: number): number {
  return Math.floor((rank - firstRow) / FOLLOWERS);
}

/** VMs between the one of a rank and a watcher. */
function getDepth(rank: number, firstRow: number): number {
  return rank < firstRow ? 0 : 1 + getDepth(getParent(rank, firstRow), firstRow);
}

/**
 * VMs of which only addresses are known, as the settings name them. Each counts as strong as this VM:
 * taken for weaker, they would make every VM that restarts while the store is away one that watches;
 * and as near, since their zones are not told.
 * @param addresses - Peer addresses.
 * @param self - This VM.
 */
export function makeSeedVms(
  addresses: readonly string[],
  { zone, linkMbps }: Pick<FollowedVm, 'zone' | 'linkMbps'>,
): FollowedVm[] {
  return addresses.map((peers) => ({ name: peers, zone, peers, linkMbps }));
}

/**
 * Puts VMs into an order that is the same everywhere, those with weak links last.
 * @param vms - The VMs.
 */
export function sortForTree(vms: readonly FollowedVm[]): readonly FollowedVm[] {
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
 * Finds a VM's place in the tree that an order makes: the first ones watch the store. Of all others
 * the first of each availability zone follow a watcher, and the rest follow one of their own zone that
 * stands above them, `FOLLOWERS` to each.
 *
 * So each change crosses to a zone once, however many VMs the zone has: bytes between zones are paid
 * for, and a tree over all zones would carry four of five changes from one zone to another.
 * @param order - VMs in their order, without those that are left alone.
 * @param name - The VM; it is in the order.
 * @example
 * findTreePlace(sortForTree(vms), 'vm-7').source?.peers;
 */
export function findTreePlace(order: readonly FollowedVm[], name: string): TreePlace {
  const rank = order.findIndex((vm) => vm.name === name);
  if (order.length === 1) return { isWatcher: true, source: undefined, hops: 0 };
  if (rank < WATCHERS) return { isWatcher: true, source: order[rank === 0 ? 1 : 0], hops: 0 };
  const { zone } = order[rank];
  const mates = order.slice(WATCHERS).filter((vm) => vm.zone === zone);
  const zoneRank = mates.findIndex((vm) => vm.name === name);
  const { watchers, count } = getFirstRow(order, zone);
  const source =
    zoneRank < count ? watchers[zoneRank % watchers.length] : mates[getParent(zoneRank, count)];
  return { isWatcher: false, source, hops: getDepth(zoneRank, count) };
}
