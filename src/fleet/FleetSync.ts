import type { VmEntry } from '../balancing/index.js';
import type { ListenAddress } from '../config/index.js';
import type { EventLog } from '../logging/EventLog.js';
import type { Clock, TimerService } from '../timing/index.js';
import { FeedClient } from './FeedClient.js';
import { FEED_AGE_MS, FeedServer } from './FeedServer.js';
import type { FleetStore, Section } from './FleetStore.js';
import type { FleetView } from './FleetView.js';
import type { FollowedVm } from './FollowTree.js';
import { findTreePlace, makeSeedVms, sortForTree } from './FollowTree.js';
import { Registrar } from './Registrar.js';
import { StoreFallback, WARM_MS } from './StoreFallback.js';
import { StoreMirror } from './StoreMirror.js';

/** Word of the store that is older than this is not gone by if there is another way, in ms. */
const STALE_MS = 1_400;

/**
 * Added for each VM between this one and the watcher, in milliseconds: those that stand next to a
 * watcher that was lost have found another by then, so that not everyone below looks for one too.
 */
const STALE_PER_HOP_MS = 200;

/** A VM whose word was stale or that was silent is not asked again for so long, in milliseconds. */
const BAD_MS = 3_000;

const CHECK_MS = 120;

/** What the synchronisation works with. */
export interface FleetSyncParts {
  readonly self: VmEntry;
  readonly listen: ListenAddress;
  /** Peer addresses to ask while no VM is known. */
  readonly seeds: readonly string[];
  readonly store: FleetStore;
  readonly view: FleetView;
  readonly clock: Clock;
  readonly log: EventLog;
  /** Parts of the store that are watched. */
  readonly sections: readonly Section[];
  random(): number;
}

/**
 * Whether a VM that watches the store itself may leave that to the one that it follows.
 *
 * Targets that it saw missing as the store came back may return within two seconds. To the other VM,
 * which may never have seen them missing, their return is no change and not told on; so this VM would
 * drop them for good. It stays until it has seen for itself whether they return.
 * @param view - What is known.
 * @param isSourceFresh - Whether the word of the VM that it follows is fresh.
 */
export function mayLeaveStore(view: Pick<FleetView, 'hasHeld'>, isSourceFresh: boolean): boolean {
  return isSourceFresh && !view.hasHeld;
}

/**
 * Keeps what is known of the store up to date: a few VMs watch it, all others follow one of them,
 * and each falls back to the store itself when what it is told gets stale.
 */
export class FleetSync {
  /** @internal */
  private readonly mirror: StoreMirror;

  /** @internal */
  private readonly server: FeedServer;

  /** @internal */
  private client: FeedClient | undefined;

  /** Peer addresses that are not asked before a time. @internal */
  private readonly badUntil = new Map<string, number>();

  /** @internal */
  private readonly fallback = new StoreFallback();

  /** Whether this VM is one of those that watch for all others. @internal */
  private isWatcher = false;

  /** All VMs in their order; undefined once they have changed. @internal */
  private sorted: readonly FollowedVm[] | undefined;

  /** VMs between the one that is followed and a watcher. @internal */
  private hops = 0;

  /** @internal */
  private isDecided = false;

  /** @internal */
  private mirrorSince = 0;

  /** @param parts - What the synchronisation works with. */
  constructor(private readonly parts: FleetSyncParts) {
    const { view, log, store, clock, sections, random } = parts;
    this.mirror = new StoreMirror({
      store,
      sections,
      view,
      clock,
      log,
      random,
      onFailure: () => this.noteStoreFailure(),
    });
    const registrar = new Registrar(parts);
    this.server = new FeedServer(view, log, (vm) => registrar.register(vm));
    view.onChange(({ section }) => {
      if (section === 'vms') this.sorted = undefined;
    });
    view.onConfirm(() => this.server.tellAge());
  }

  /** Messages sent so far to VMs that follow this one. */
  get sentMessages(): number {
    return this.server.sent;
  }

  /** Begins to listen and to follow. */
  start(timers: TimerService): void {
    this.server.start(this.parts.listen);
    timers.subscribe(CHECK_MS, () => this.decide());
    timers.subscribe(FEED_AGE_MS, () => this.server.tellAge());
  }

  /**
   * From now on the VMs that are known decide whom to follow.
   *
   * Before, a VM that starts together with all others would see only some of them, and too many
   * would take themselves for those that have to watch.
   */
  begin(): void {
    this.isDecided = true;
    this.decide();
  }

  /** Ends all connections. */
  stop(): void {
    this.isDecided = false;
    this.client?.stop();
    this.mirror.stop();
    this.server.stop();
  }

  /** @internal */
  private decide(): void {
    if (!this.isDecided) return;
    const now = this.parts.clock.now();
    this.checkClient(now);
    const { isWatcher, source, hops } = findTreePlace(this.getOrder(now), this.parts.self.name);
    this.isWatcher = isWatcher;
    if (isWatcher || this.fallback.isOpen(now)) this.watch(now);
    else this.stopWatching();
    this.hops = hops;
    if (source !== undefined && (!isWatcher || this.isOwnStale(now))) this.follow(source);
    else this.unfollow();
  }

  /** Whether what this VM's own watches say is old. @internal */
  private isOwnStale(now: number): boolean {
    return now - this.mirrorSince > WARM_MS && this.parts.view.getAgeMs() > STALE_MS;
  }

  /** @internal */
  private watch(now: number): void {
    if (this.mirror.isActive) return;
    this.mirrorSince = now;
    this.mirror.start(this.isWatcher ? 'all' : 'canaryFirst');
    this.parts.log.write('fleet.watching', { ageMs: this.getAge() });
  }

  /** @internal */
  private noteStoreFailure(): void {
    if (this.isWatcher || this.parts.view.hasHeld) return;
    const { clock, random, view } = this.parts;
    this.fallback.noteFailure(clock.now(), view.vms.size, random());
    this.mirror.stop();
  }

  /** @internal */
  private stopWatching(): void {
    if (!this.mirror.isActive || this.client === undefined) return;
    if (!mayLeaveStore(this.parts.view, this.isClientFresh())) return;
    this.mirror.stop();
    this.parts.log.write('fleet.watchEnded', { follows: this.client.address });
  }

  /** All VMs but those that were bad lately, in their order. @internal */
  private getOrder(now: number): readonly FollowedVm[] {
    const { self } = this.parts;
    const sorted = this.getSorted();
    const good = sorted.filter(
      ({ name, peers }) => name === self.name || (this.badUntil.get(peers) ?? 0) <= now,
    );
    // If all others are bad the store is probably away; the first ones see its return first.
    return good.length > 1 ? good : sorted;
  }

  /** @internal */
  private getSorted(): readonly FollowedVm[] {
    if (this.sorted !== undefined) return this.sorted;
    const { view, seeds, self } = this.parts;
    const known: FollowedVm[] = [...view.vms.values()].filter(({ name }) => name !== self.name);
    const others = known.length > 0 ? known : makeSeedVms(seeds, self);
    this.sorted = sortForTree([...others, self]);
    return this.sorted;
  }

  /** @internal */
  private isClientFresh(): boolean {
    const { client } = this;
    const limitMs = STALE_MS + STALE_PER_HOP_MS * this.hops;
    return client !== undefined && !client.isSilent && client.getAgeMs() < limitMs;
  }

  /**
   * Leaves a VM that is silent. One whose word is stale is kept until there is a better one: while
   * the store is away for all, each new connection would only carry the same content once more.
   * @internal
   */
  private checkClient(now: number): void {
    const { client } = this;
    if (client === undefined) return;
    if (this.isClientFresh()) {
      this.fallback.noteFresh();
      return;
    }
    const askedMs = now - client.startedAt;
    this.fallback.noteWaiting(now, askedMs);
    if (askedMs < this.fallback.warmMs) return;
    if (client.isSilent) this.leave(client, 'silent');
    else if ((this.badUntil.get(client.address) ?? 0) <= now) this.markBad(client, 'stale');
  }

  /** @internal */
  private leave(client: FeedClient, reason: string): void {
    client.stop();
    this.client = undefined;
    this.markBad(client, reason);
  }

  /** @internal */
  private markBad({ address }: FeedClient, reason: string): void {
    const now = this.parts.clock.now();
    this.fallback.noteLost(now);
    this.badUntil.set(address, now + BAD_MS);
    this.parts.log.write('fleet.sourceLost', { source: address, reason, ageMs: this.getAge() });
  }

  /** Follows a VM, unless the one that is followed now has fresh word. @internal */
  private follow(source: FollowedVm): void {
    const { view, clock, log, self } = this.parts;
    const { peers } = source;
    if (source.name === self.name || this.client?.address === peers) return;
    const isNew = this.client !== undefined && clock.now() - this.client.startedAt < WARM_MS;
    if (isNew || this.isClientFresh()) return;
    this.unfollow();
    const client: FeedClient = new FeedClient(peers, view, clock, (reason) => {
      if (this.client !== client) return;
      this.leave(client, reason);
      this.decide();
    });
    this.client = client;
    log.write('fleet.following', { source: peers, ageMs: this.getAge() });
  }

  /** @internal */
  private unfollow(): void {
    this.client?.stop();
    this.client = undefined;
  }

  /** @internal */
  private getAge(): number | undefined {
    const ageMs = this.parts.view.getAgeMs();
    return Number.isFinite(ageMs) ? Math.round(ageMs) : undefined;
  }
}
