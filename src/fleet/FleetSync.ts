import type { VmAnnouncement } from '../balancing/index.js';
import type { ListenAddress } from '../config/index.js';
import type { EventLog } from '../logging/EventLog.js';
import type { Clock, TimerService } from '../timing/index.js';
import { FeedClient } from './FeedClient.js';
import { AGE_BROADCAST_INTERVAL_MS, FeedServer } from './FeedServer.js';
import type { FleetStore, Section } from './FleetStore.js';
import type { FleetView } from './FleetView.js';
import type { TreeVm } from './FollowTree.js';
import { findTreePosition, makeSeedVms, sortVmsForTree } from './FollowTree.js';
import { logViewEvents } from './logViewEvents.js';
import { Registrar } from './Registrar.js';
import type { PropagationTimes } from './propagation.js';
import { StoreFallback } from './StoreFallback.js';
import { StoreWatcher } from './StoreWatcher.js';

/** A source that was lost, silent or stale is not chosen again for this time, in milliseconds. */
const SOURCE_COOLDOWN_MS = 3_000;

/** Dependencies of `FleetSync`. */
export interface FleetSyncParts {
  readonly self: VmAnnouncement;
  readonly listen: ListenAddress;
  /** Peer addresses to follow while no other VM is known. */
  readonly seeds: readonly string[];
  readonly store: FleetStore;
  readonly view: FleetView;
  readonly clock: Clock;
  readonly log: EventLog;
  /** Sections of the store that are watched. */
  readonly sections: readonly Section[];
  /** Times of the stages by which changes reach all VMs. */
  readonly propagation: PropagationTimes;
  random(): number;
}

/**
 * Whether a VM that watches the store directly can stop and rely on its source.
 *
 * Targets that were missing when the store recovered may register again within two seconds. A
 * source that never saw them missing does not report that as a change, so this VM would remove them
 * for good. It watches the store until none of its removals is deferred.
 * @param view - Local copy of the store.
 * @param isSourceFresh - Whether the data of the VM that it follows is fresh.
 */
export function canStopWatching(
  view: Pick<FleetView, 'hasDeferredRemovals'>,
  isSourceFresh: boolean,
): boolean {
  return isSourceFresh && !view.hasDeferredRemovals;
}

/**
 * Keeps the local copy of the store up to date: a few VMs watch the store, all others follow these
 * directly or through other VMs, and a VM watches the store itself while its sources are stale.
 */
export class FleetSync {
  /** @internal */
  private readonly storeWatcher: StoreWatcher;

  /** @internal */
  private readonly server: FeedServer;

  /** @internal */
  private client: FeedClient | undefined;

  /** Time before which a source is not chosen again, by peer address; monotonic ms. @internal */
  private readonly avoidedUntil = new Map<string, number>();

  /** @internal */
  private readonly fallback: StoreFallback;

  /** Whether this VM is one of those that watch the store for all others. @internal */
  private isWatcher = false;

  /** All VMs in tree order; undefined until computed again after a change. @internal */
  private sortedVms: readonly TreeVm[] | undefined;

  /** Number of VMs between the source and a watcher. @internal */
  private hops = 0;

  /** @internal */
  private hasBegun = false;

  /** @internal */
  private watchingSince = 0;

  /** @param parts - Dependencies. */
  constructor(private readonly parts: FleetSyncParts) {
    const { view, log, store, clock, sections, random, propagation } = parts;
    this.fallback = new StoreFallback(propagation.sourceGraceMs);
    this.storeWatcher = new StoreWatcher({
      store,
      sections,
      view,
      clock,
      log,
      random,
      propagation,
      onSuccess: () => this.fallback.recordStoreSuccess(),
      onFailure: () => this.handleStoreFailure(),
    });
    const registrar = new Registrar(parts);
    this.server = new FeedServer(view, log, (vm) => registrar.register(vm));
    view.onChange(({ section }) => {
      if (section === 'vms') this.sortedVms = undefined;
    });
    view.confirmations.onConfirm(() => this.server.broadcastAge());
    logViewEvents(view, log);
  }

  /** Number of messages sent so far to the followers of this VM. */
  get sentMessages(): number {
    return this.server.sentMessages;
  }

  /** Starts to listen, and to check the source periodically once `begin` was called. */
  start(timers: TimerService): void {
    this.server.start(this.parts.listen);
    timers.subscribe(this.parts.propagation.checkMs, () => this.updateRole());
    timers.subscribe(AGE_BROADCAST_INTERVAL_MS, () => this.server.broadcastAge());
  }

  /**
   * Starts to choose a source from the known VMs.
   *
   * Called once the other VMs are known: a VM that starts together with all others would see only
   * some of them at first, and too many would become watchers.
   */
  begin(): void {
    this.hasBegun = true;
    this.updateRole();
  }

  /** Stops watching and closes all connections. */
  stop(): void {
    this.hasBegun = false;
    this.client?.stop();
    this.storeWatcher.stop();
    this.server.stop();
  }

  /**
   * Chooses the source, and whether to watch the store, by this VM's place in the tree.
   * @internal
   */
  private updateRole(): void {
    if (!this.hasBegun) return;
    const now = this.parts.clock.now();
    this.checkSource(now);
    const { isWatcher, source, hops } = findTreePosition(
      this.getUsableVms(now),
      this.parts.self.name,
    );
    this.isWatcher = isWatcher;
    if (isWatcher || this.fallback.shouldWatchStore(now)) this.startWatching(now);
    else this.stopWatching();
    this.hops = hops;
    if (source !== undefined && (!isWatcher || this.isOwnWatchStale(now))) this.follow(source);
    else this.unfollow();
  }

  /** Whether the data is stale although this VM has had the time to read the store. @internal */
  private isOwnWatchStale(now: number): boolean {
    const { view, propagation } = this.parts;
    const isWatching = now - this.watchingSince > propagation.sourceGraceMs;
    return isWatching && view.confirmations.getAgeMs() > propagation.staleMs;
  }

  /** @internal */
  private startWatching(now: number): void {
    if (this.storeWatcher.isActive) return;
    this.watchingSince = now;
    this.storeWatcher.start(this.isWatcher ? 'all' : 'canaryFirst');
    this.parts.log.write('fleet.watching', { ageMs: this.getRoundedAgeMs() });
  }

  /** @internal */
  private handleStoreFailure(): void {
    if (this.isWatcher || this.parts.view.hasDeferredRemovals) return;
    const { clock, random, view } = this.parts;
    this.fallback.recordStoreFailure(clock.now(), view.vms.size, random());
    this.storeWatcher.stop();
  }

  /** @internal */
  private stopWatching(): void {
    if (!this.storeWatcher.isActive || this.client === undefined) return;
    if (!canStopWatching(this.parts.view, this.isSourceFresh())) return;
    this.storeWatcher.stop();
    this.parts.log.write('fleet.watchEnded', { follows: this.client.address });
  }

  /** This VM and all others that are not avoided at present, in tree order. @internal */
  private getUsableVms(now: number): readonly TreeVm[] {
    const all = this.getSortedVms();
    const usable = all.filter((vm) => !this.isAvoided(vm, now));
    // If all others are avoided, the store is probably down. All are then kept, so that the first
    // ones in the order, which notice its recovery first, are followed.
    return usable.length > 1 ? usable : all;
  }

  /** @internal */
  private isAvoided({ name, peers }: TreeVm, now: number): boolean {
    return name !== this.parts.self.name && (this.avoidedUntil.get(peers) ?? 0) > now;
  }

  /** Whether any other VM is not avoided at present. @internal */
  private hasOtherSource(): boolean {
    const { clock, self } = this.parts;
    const now = clock.now();
    return this.getSortedVms().some((vm) => vm.name !== self.name && !this.isAvoided(vm, now));
  }

  /** @internal */
  private getSortedVms(): readonly TreeVm[] {
    if (this.sortedVms !== undefined) return this.sortedVms;
    const { view, seeds, self } = this.parts;
    const known: TreeVm[] = [...view.vms.values()].filter(({ name }) => name !== self.name);
    const others = known.length > 0 ? known : makeSeedVms(seeds, self);
    this.sortedVms = sortVmsForTree([...others, self]);
    return this.sortedVms;
  }

  /** @internal */
  private isSourceFresh(): boolean {
    const { client } = this;
    const { staleMs, stalePerHopMs } = this.parts.propagation;
    const maxAgeMs = staleMs + stalePerHopMs * this.hops;
    return client !== undefined && !client.isSilent && client.getAgeMs() < maxAgeMs;
  }

  /**
   * Disconnects a silent source. A stale source is kept until a better one is found: during a store
   * outage a new connection would only transfer the same data again.
   * @internal
   */
  private checkSource(now: number): void {
    const { client } = this;
    if (client === undefined) return;
    if (this.isSourceFresh()) {
      this.fallback.recordSourceFresh();
      return;
    }
    const connectedMs = now - client.startedAt;
    this.fallback.recordSourceWaiting(now, connectedMs);
    if (connectedMs < this.fallback.sourceGraceMs) return;
    if (client.isSilent) this.dropSource(client, 'silent');
    else if ((this.avoidedUntil.get(client.address) ?? 0) <= now) this.avoidSource(client, 'stale');
  }

  /** @internal */
  private dropSource(client: FeedClient, reason: string): void {
    client.stop();
    this.client = undefined;
    this.avoidSource(client, reason);
  }

  /** @internal */
  private avoidSource({ address }: FeedClient, reason: string): void {
    const now = this.parts.clock.now();
    this.fallback.recordSourceLost(now);
    this.avoidedUntil.set(address, now + SOURCE_COOLDOWN_MS);
    this.parts.log.write('fleet.sourceLost', {
      source: address,
      reason,
      ageMs: this.getRoundedAgeMs(),
    });
  }

  /** Follows a VM, unless the current source is fresh or was connected only just now. @internal */
  private follow(source: TreeVm): void {
    const { view, clock, log, self, propagation } = this.parts;
    const { peers } = source;
    if (source.name === self.name || this.client?.address === peers) return;
    const isInGracePeriod =
      this.client !== undefined && clock.now() - this.client.startedAt < propagation.sourceGraceMs;
    if (isInGracePeriod || this.isSourceFresh()) return;
    this.unfollow();
    const client: FeedClient = new FeedClient(peers, view, clock, (reason) => {
      if (this.client !== client) return;
      this.dropSource(client, reason);
      // A VM that is avoided would refuse at once again; the next check connects to it.
      if (this.hasOtherSource()) this.updateRole();
    });
    this.client = client;
    log.write('fleet.following', { source: peers, ageMs: this.getRoundedAgeMs() });
  }

  /** @internal */
  private unfollow(): void {
    this.client?.stop();
    this.client = undefined;
  }

  /** @internal */
  private getRoundedAgeMs(): number | undefined {
    const ageMs = this.parts.view.confirmations.getAgeMs();
    return Number.isFinite(ageMs) ? Math.round(ageMs) : undefined;
  }
}
