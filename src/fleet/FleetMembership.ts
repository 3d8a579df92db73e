import type { VmEntry } from '../balancing/index.js';
import type { EventLog } from '../logging/EventLog.js';
import type { Clock } from '../timing/index.js';
import type { FleetStore, ListFreshness, Section } from './FleetStore.js';
import type { FleetView } from './FleetView.js';

/** VMs that start together are known to each other after this time, in milliseconds. */
const SETTLE_MS = 800;

const RETRY_MS = 700;

/**
 * What a restarting VM needs to serve callers is read for so long before the list of VMs, in
 * milliseconds: on a link of 14 Mbit/s the list would hold up the targets by some 50 ms.
 */
const NEEDED_FIRST_MS = 250;

/** What a VM that restarts needs besides the other VMs to serve callers. */
const OLD_AT_RESTART: readonly Section[] = ['configuration', 'targets', 'zonesOut'];

/** What membership works with. */
export interface FleetMembershipParts {
  readonly self: VmEntry;
  /** Whether all VMs start together for the first time. */
  readonly isFirstStart: boolean;
  readonly store: FleetStore;
  readonly view: FleetView;
  readonly clock: Clock;
  readonly log: EventLog;
  random(): number;
  /** Told once it is known which other VMs there are, as far as that can be known now. */
  onKnown(): void;
}

/** Makes this entry VM known to the others through the store, and finds them. */
export class FleetMembership {
  /** @internal */
  private isLeaving = false;

  /** @param parts - What membership works with. */
  constructor(private readonly parts: FleetMembershipParts) {}

  /**
   * Finds the other VMs and makes this one known. One that was known before, since it restarts, goes
   * to work at once; on the first start it waits until those that start with it are known too.
   */
  async join(): Promise<void> {
    const { self, store, view, clock, log, isFirstStart, onKnown } = this.parts;
    try {
      if (isFirstStart) {
        await store.announce(self);
        clock.after(SETTLE_MS, () => this.readAgain());
        return;
      }
      const needed = Promise.all(OLD_AT_RESTART.map((section) => this.readOld(section)));
      await Promise.race([needed, this.wait(NEEDED_FIRST_MS)]);
      await this.readVms('mayBeOld');
      onKnown();
      const own = view.vms.get(self.name);
      const isKnown =
        own?.callers === self.callers && own.peers === self.peers && own.linkMbps === self.linkMbps;
      log.write('fleet.joined', { vms: view.vms.size, isKnown });
      if (!isKnown) await store.announce(self);
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
      await this.parts.store.withdraw(this.parts.self.name);
    } catch (err) {
      this.noteFailure('vms', err as Error);
    }
  }

  /** @internal */
  private wait(ms: number): Promise<void> {
    return new Promise((resolve) => {
      this.parts.clock.after(ms, resolve);
    });
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
      const { items, revision } = await this.parts.store.list(section, 'mayBeOld');
      this.parts.view.apply({ section, items, revision, isWhole: true });
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
