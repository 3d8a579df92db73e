import type { VmEntry } from '../balancing/index.js';
import type { EventLog } from '../logging/EventLog.js';
import { sleep } from '../timing/index.js';
import type { AnnouncementParts } from './askOthersToAnnounce.js';
import { askOthersToAnnounce } from './askOthersToAnnounce.js';
import { PARTIAL_REVISION } from './FleetView.js';
import type { FleetStore, ListFreshness, Section } from './FleetStore.js';

/** VMs that start together are known to each other after this time, in milliseconds. */
const SETTLE_MS = 800;

const RETRY_MS = 700;

/**
 * What a restarting VM needs to serve callers is read for so long before the list of VMs, in
 * milliseconds: on a link of 14 Mbit/s the list would hold up the targets by some 50 ms.
 */
const NEEDED_FIRST_MS = 250;

/** What membership works with. */
export interface FleetMembershipParts extends AnnouncementParts {
  /** Whether all VMs start together for the first time. */
  readonly isFirstStart: boolean;
  readonly store: FleetStore;
  readonly log: EventLog;
  /** Parts of the store that this VM goes by. */
  readonly sections: readonly Section[];
  random(): number;
  /** Told once it is known which other VMs there are, as far as that can be known now. */
  onKnown(): void;
}

/** Makes this entry VM known to the others through the store, and finds them. */
export class FleetMembership {
  /** @internal */
  private isLeaving = false;

  /** @internal */
  private hasJoined = false;

  /** Whether this VM is about to announce itself once more. @internal */
  private isReturning = false;

  /** @param parts - What membership works with. */
  constructor(private readonly parts: FleetMembershipParts) {
    parts.view.onChange(({ section }) => {
      if (section === 'vms') this.noteVms();
    });
  }

  /**
   * Finds the other VMs and makes this one known. One that was known before, since it restarts, goes
   * to work at once; on the first start it waits until those that start with it are known too.
   */
  async join(): Promise<void> {
    const { self, view, log, sections, isFirstStart, onKnown } = this.parts;
    try {
      if (isFirstStart) {
        await this.joinFirst();
        return;
      }
      const old = sections.filter((section) => section !== 'vms');
      const needed = Promise.all(old.map((section) => this.readOld(section)));
      await Promise.race([needed, sleep(this.parts.clock, NEEDED_FIRST_MS)]);
      await this.readVms('mayBeOld');
      onKnown();
      const own = view.vms.get(self.name);
      const isKnown =
        own?.callers === self.callers && own.peers === self.peers && own.linkMbps === self.linkMbps;
      log.write('fleet.joined', { vms: view.vms.size, isKnown });
      if (!isKnown) await this.announce([self]);
      this.hasJoined = true;
      await needed;
    } catch (err) {
      this.noteFailure('vms', err as Error);
      // The VMs that the settings name may know more than the store tells now.
      onKnown();
      this.joinLater();
    }
  }

  /** Takes this VM's announcement away. */
  async leave(): Promise<void> {
    this.isLeaving = true;
    try {
      await this.announce([]);
    } catch (err) {
      this.noteFailure('vms', err as Error);
    }
  }

  /**
   * Announces this VM once more if others no longer know it. A process that is started again soon
   * after a planned stop may find itself in a list from before it left, and take itself for known.
   * @internal
   */
  private noteVms(): void {
    const { self, view, clock } = this.parts;
    const isMissing = (): boolean => this.hasJoined && !this.isLeaving && !view.vms.has(self.name);
    if (this.isReturning || !isMissing()) return;
    this.isReturning = true;
    clock.after(RETRY_MS, () => {
      this.isReturning = false;
      if (!isMissing()) return;
      this.announce([self]).catch((err: Error) => {
        this.noteFailure('vms', err);
        this.noteVms();
      });
    });
  }

  /** Joins while all VMs start together. @internal */
  private async joinFirst(): Promise<void> {
    const { self, clock, view, log, onKnown } = this.parts;
    if (await askOthersToAnnounce(this.parts)) {
      log.write('fleet.joined', { vms: view.vms.size, isKnown: true });
      this.hasJoined = true;
      onKnown();
      return;
    }
    await this.announce([self]);
    clock.after(SETTLE_MS, () => this.readAgain());
  }

  /** Announces VMs besides those that asked this one to announce them. @internal */
  private announce(own: readonly VmEntry[]): Promise<void> {
    const { self, store, view } = this.parts;
    const before = view.rosters.get(self.name);
    const others = (before?.vms ?? []).filter(({ name }) => name !== self.name);
    return store.announce(self.name, { vms: [...own, ...others] }, before !== undefined);
  }

  /** @internal */
  private async readAgain(): Promise<void> {
    const { self, log, view, onKnown } = this.parts;
    try {
      // A list that names this VM is later than its announcement, and so than nearly all others'.
      await this.readVms('mayBeOld');
      if (!view.vms.has(self.name)) await this.readVms('now');
      log.write('fleet.joined', { vms: view.vms.size, isKnown: false });
    } catch (err) {
      this.noteFailure('vms', err as Error);
    }
    this.hasJoined = true;
    onKnown();
  }

  /** @internal */
  private joinLater(): void {
    const { clock, random } = this.parts;
    clock.after(RETRY_MS * (0.5 + random()), () => {
      if (!this.isLeaving) this.join();
    });
  }

  /**
   * Reads a section that may be some seconds old. It costs a tenth and counts for nothing but a start:
   * after all VMs were down, 7 of 19 had no configuration for 0.4 s more, while those that they follow
   * had none to tell yet.
   * @internal
   */
  private async readOld(section: Section): Promise<void> {
    try {
      const { store, view } = this.parts;
      const { items, revision } = await store.list(section, 'mayBeOld', (page) =>
        view.apply({ section, items: page, revision: PARTIAL_REVISION, isWhole: false }),
      );
      view.apply({ section, items, revision, isWhole: true });
    } catch (err) {
      this.noteFailure(section, err as Error);
    }
  }

  /** @internal */
  private async readVms(freshness: ListFreshness): Promise<void> {
    const { items, revision } = await this.parts.store.list('vms', freshness);
    this.parts.view.apply({ section: 'vms', items, revision, isWhole: true });
  }

  /** @internal */
  private noteFailure(section: Section, { message }: Error): void {
    this.parts.log.write('store.callFailed', { section, message });
  }
}
