import type { VmAnnouncement } from '../balancing/index.js';
import type { EventLog } from '../logging/EventLog.js';
import { sleep } from '../timing/index.js';
import type { AnnouncementParts } from './askSeedsToAnnounce.js';
import { askSeedsToAnnounce } from './askSeedsToAnnounce.js';
import type { FleetStore, ListFreshness, Section } from './FleetStore.js';
import { PARTIAL_POSITION } from './sectionChanges.js';

/** Time in which VMs that start together have announced themselves, in milliseconds. */
const FIRST_START_SETTLE_MS = 800;

/** Delay before a failed join or a lost announcement is repeated, in milliseconds. */
const RETRY_DELAY_MS = 700;

/**
 * Longest time for which a restarting VM reads only the sections that it needs to serve callers,
 * before it reads the list of VMs too, in milliseconds. On a link of 14 Mbit/s the list would delay
 * the targets by about 50 ms.
 */
const MAX_VM_LIST_DELAY_MS = 250;

/** Dependencies of `FleetMembership`. */
export interface FleetMembershipParts extends AnnouncementParts {
  /** Whether all VMs of the fleet start together for the first time. */
  readonly isFirstStart: boolean;
  readonly store: FleetStore;
  readonly log: EventLog;
  /** Sections of the store that this VM uses. */
  readonly sections: readonly Section[];
  random(): number;
  /**
   * Called when the other VMs have been read, or reading them has failed; after each attempt to
   * join.
   */
  onVmsKnown(): void;
}

/** Announces this entry VM in the store and reads which others have announced themselves. */
export class FleetMembership {
  /** @internal */
  private isLeaving = false;

  /** @internal */
  private hasJoined = false;

  /** Whether a repeated announcement is scheduled. @internal */
  private isReannouncing = false;

  /** @param parts - Dependencies. */
  constructor(private readonly parts: FleetMembershipParts) {
    parts.view.onChange(({ section }) => {
      if (section === 'vms') this.reannounceIfMissing();
    });
  }

  /**
   * Reads the other VMs, and announces this one unless the store lists it already. A VM that
   * restarts proceeds at once; on the first start of the fleet it waits until the VMs that start
   * with it are announced too. A failure is logged, and joining is retried unless this VM is
   * announced already.
   */
  async join(): Promise<void> {
    const { self, view, log, sections, isFirstStart, onVmsKnown } = this.parts;
    try {
      if (isFirstStart) {
        await this.joinOnFirstStart();
        return;
      }
      const servingSections = sections.filter((section) => section !== 'vms');
      const servingReads = Promise.all(
        servingSections.map((section) => this.readPossiblyStale(section)),
      );
      await Promise.race([servingReads, sleep(this.parts.clock, MAX_VM_LIST_DELAY_MS)]);
      await this.readVms('mayBeOld');
      onVmsKnown();
      const isKnown = this.isAnnounced;
      log.write('fleet.joined', { vms: view.vms.size, isKnown });
      if (!isKnown) await this.announce([self]);
      this.hasJoined = true;
      await servingReads;
    } catch (err) {
      this.logFailure('vms', err as Error);
      // The seeds may have the data that the store could not deliver.
      onVmsKnown();
      this.scheduleJoinRetry();
    }
  }

  /** Removes this VM from its own announcement; other VMs that it has announced stay in it. */
  async leave(): Promise<void> {
    this.isLeaving = true;
    try {
      await this.announce([]);
    } catch (err) {
      this.logFailure('vms', err as Error);
    }
  }

  /**
   * Repeats the announcement if this VM is missing from the list. A process that restarts soon
   * after a planned stop may read a list from before it left, and so have skipped its announcement.
   * A store that was restored may lack the announcement, or have an earlier one.
   * @internal
   */
  private reannounceIfMissing(): void {
    const { clock } = this.parts;
    if (this.isReannouncing || !this.isAnnouncementMissing) return;
    this.isReannouncing = true;
    clock.after(RETRY_DELAY_MS, () => {
      this.isReannouncing = false;
      if (!this.isAnnouncementMissing) return;
      this.announce([this.parts.self]).catch((err: Error) => {
        this.logFailure('vms', err);
        this.reannounceIfMissing();
      });
    });
  }

  /** Whether the store lacks this VM, or has an earlier address of it. @internal */
  private get isAnnouncementMissing(): boolean {
    const { self, view } = this.parts;
    if (!this.hasJoined || this.isLeaving) return false;
    return !this.isAnnounced || view.isMissing('vms', self.name);
  }

  /** Whether this VM is listed as it is. @internal */
  private get isAnnounced(): boolean {
    const { self, view } = this.parts;
    const announced = view.vms.get(self.name);
    return (
      announced?.callers === self.callers &&
      announced.peers === self.peers &&
      announced.linkMbps === self.linkMbps
    );
  }

  /**
   * Joins while all VMs start together: a seed announces this VM, or it announces itself.
   * @internal
   */
  private async joinOnFirstStart(): Promise<void> {
    const { self, clock, view, log, onVmsKnown } = this.parts;
    if (await askSeedsToAnnounce(this.parts)) {
      log.write('fleet.joined', { vms: view.vms.size, isKnown: true });
      this.hasJoined = true;
      onVmsKnown();
      return;
    }
    await this.announce([self]);
    clock.after(FIRST_START_SETTLE_MS, () => this.completeFirstStart());
  }

  /** Announces `ownEntries` together with the other VMs that this one has announced. @internal */
  private announce(ownEntries: readonly VmAnnouncement[]): Promise<void> {
    const { self, store, view } = this.parts;
    const previous = view.rosters.get(self.name);
    const others = (previous?.vms ?? []).filter(({ name }) => name !== self.name);
    return store.announce(self.name, { vms: [...ownEntries, ...others] }, previous !== undefined);
  }

  /** @internal */
  private async completeFirstStart(): Promise<void> {
    const { self, log, view, onVmsKnown } = this.parts;
    try {
      // A list that has this VM is newer than its announcement, and so has nearly all others too.
      await this.readVms('mayBeOld');
      if (!view.vms.has(self.name)) await this.readVms('now');
      log.write('fleet.joined', { vms: view.vms.size, isKnown: false });
    } catch (err) {
      this.logFailure('vms', err as Error);
    }
    this.hasJoined = true;
    onVmsKnown();
  }

  /** @internal */
  private scheduleJoinRetry(): void {
    const { clock, random } = this.parts;
    clock.after(RETRY_DELAY_MS * (0.5 + random()), () => {
      if (!this.isLeaving) this.join();
    });
  }

  /**
   * Reads a section from a list that may be some seconds old, at a tenth of the price of a current
   * one. The section does not count as confirmed. Without this read, after all VMs had been down, 7
   * of 19 were without a configuration for another 0.4 s, since the VMs that they follow had none
   * yet either.
   * @internal
   */
  private async readPossiblyStale(section: Section): Promise<void> {
    try {
      const { store, view } = this.parts;
      const { items, position } = await store.list(section, 'mayBeOld', (page) =>
        view.apply({ section, items: page, position: PARTIAL_POSITION, isWhole: false }),
      );
      view.apply({ section, items, position, isWhole: true });
    } catch (err) {
      this.logFailure(section, err as Error);
    }
  }

  /** @internal */
  private async readVms(freshness: ListFreshness): Promise<void> {
    const { items, position } = await this.parts.store.list('vms', freshness);
    this.parts.view.apply({ section: 'vms', items, position, isWhole: true });
  }

  /** @internal */
  private logFailure(section: Section, { message }: Error): void {
    this.parts.log.write('store.callFailed', { section, message });
  }
}
