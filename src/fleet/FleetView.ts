import type {
  RoutingTable,
  TargetRegistration,
  VmAnnouncement,
  VmRoster,
} from '../balancing/index.js';
import type { RolloutOrder } from '../rollouts/index.js';
import type { Clock } from '../timing/index.js';
import type { Section, StoredItem } from './FleetStore.js';
import { mergeRosters } from './mergeRosters.js';

/**
 * Revision of a section of which only a part has been read. Revisions of the store are greater, so
 * any other change of the section supersedes the part.
 */
export const PARTIAL_REVISION = 0;

/**
 * The store counts as having been down if its confirmations are further apart than this and a call
 * of this VM has failed in between, in milliseconds.
 */
const STORE_OUTAGE_MS = 1_500;

/**
 * Without a failed call, it counts as down only if confirmations are this far apart, in
 * milliseconds. A VM that has lost its source hears nothing for up to two seconds although the
 * store is up, and targets miss several heartbeats before their entries expire.
 */
const UNSEEN_OUTAGE_MS = 3_000;

/**
 * Time after the recovery of the store in which targets whose entries expired during the outage
 * register again, in milliseconds: about two seconds according to the platform, plus the time to
 * propagate.
 */
const REREGISTRATION_MS = 2_700;

/** Changes of a section, or the whole section. */
export interface SectionChange<S extends Section> {
  readonly section: S;
  readonly items: readonly StoredItem<S>[];
  /** Revision of the store that the section is at with these changes. */
  readonly revision: number;
  /** Whether the items are the whole section, so that objects which are not among them are gone. */
  readonly isWhole: boolean;
  /** Whether it came from another VM, which may keep targets that are missing in the store. */
  readonly isFromPeer?: boolean;
}

/**
 * Identifies one confirmation by the store that data is current. A VM counts the data of another VM
 * as fresher only if it comes with a confirmation that it has not seen yet. Ages alone don't
 * suffice: the transit time is missing from them, so data looks fresher after each hop, and two VMs
 * that follow each other would never find theirs stale.
 */
export interface Confirmation {
  /** Run of the process that received it from the store. */
  readonly origin: string;
  /** Its number in that run. */
  readonly count: number;
}

/** Sections that have to be confirmed for the data of a VM to count as fresh. */
export const FRESHNESS_SECTIONS: readonly Section[] = ['configuration', 'targets'];

/** Local copy of the store, whether it was read from the store or received from another VM. */
export class FleetView {
  /** Latest configuration; undefined if none is known. */
  table: RoutingTable | undefined;

  /** Registered targets, by name. */
  readonly targets = new Map<string, TargetRegistration>();

  /** Availability zones that operators have taken out of service. */
  readonly zonesOut = new Map<string, true>();

  /** Orders to move a service to another version, by service. */
  readonly rollouts = new Map<string, RolloutOrder>();

  /** Announcements of entry VMs, by the VM that announced them. */
  readonly rosters = new Map<string, VmRoster>();

  /** All announced entry VMs, by name. */
  vms: ReadonlyMap<string, VmAnnouncement> = new Map();

  /** Revision that each section is at. @internal */
  private readonly revisions = new Map<Section, number>();

  /** When the store last confirmed each section; monotonic milliseconds. @internal */
  private readonly confirmedAt = new Map<Section, number>();

  /** When a call of this VM to the store last failed; monotonic milliseconds. @internal */
  private storeFailedAt = Number.NEGATIVE_INFINITY;

  /** When the store last answered again after an outage; monotonic milliseconds. @internal */
  private storeRecoveredAt = Number.NEGATIVE_INFINITY;

  /**
   * Targets that were missing when the store recovered, and the revision at which they were. They
   * are removed unless they register again in time.
   * @internal
   */
  private readonly deferred = new Map<string, number>();

  /** @internal */
  private readonly changeListeners: ((change: SectionChange<Section>) => void)[] = [];

  /** @internal */
  private readonly confirmListeners: (() => void)[] = [];

  /** @internal */
  private readonly outdatedListeners: ((change: SectionChange<Section>, known: number) => void)[] =
    [];

  /** @internal */
  private latestConfirmation: Confirmation | undefined;

  /** Number of the latest confirmation of each origin. @internal */
  private readonly latestCounts = new Map<string, number>();

  /**
   * @param clock - Source of monotonic time.
   * @param origin - Identifies this run of the process in confirmations.
   */
  constructor(
    private readonly clock: Clock,
    private readonly origin = 'self',
  ) {}

  /** Whether targets are kept that were missing when the store recovered and may register again. */
  get hasDeferredRemovals(): boolean {
    return this.deferred.size > 0;
  }

  /** Latest known confirmation by the store; undefined if there was none. */
  getConfirmation(): Confirmation | undefined {
    return this.latestConfirmation;
  }

  /**
   * Adds a listener for changes.
   * @param listener - Called after a change was applied, with the items that have changed.
   */
  onChange(listener: (change: SectionChange<Section>) => void): void {
    this.changeListeners.push(listener);
  }

  /**
   * Adds a listener for confirmations by the store.
   * @param listener - Called after a new confirmation was recorded.
   */
  onConfirm(listener: () => void): void {
    this.confirmListeners.push(listener);
  }

  /**
   * Adds a listener for changes that are ignored because the section is at a later revision.
   * @param listener - Called with the change and the known revision.
   */
  onOutdated(listener: (change: SectionChange<Section>, known: number) => void): void {
    this.outdatedListeners.push(listener);
  }

  /**
   * Time since the store confirmed the least recently confirmed of `FRESHNESS_SECTIONS`, in
   * milliseconds; infinite if one of them was never confirmed.
   */
  getAgeMs(): number {
    const times = FRESHNESS_SECTIONS.map((section) => this.confirmedAt.get(section));
    const oldest = Math.min(...times.map((at) => at ?? Number.NEGATIVE_INFINITY));
    return this.clock.now() - oldest;
  }

  /**
   * Revision that a section is at; undefined if nothing of it is known.
   * @param section - The section.
   */
  getRevision(section: Section): number | undefined {
    return this.revisions.get(section);
  }

  /** Whether only a part of a section has been read so far. */
  isPartial(section: Section): boolean {
    return this.getRevision(section) === PARTIAL_REVISION;
  }

  /**
   * Records that the store has just confirmed a section to this VM.
   * @param section - The section.
   */
  confirm(section: Section): void {
    this.recordConfirmedAt(section, this.clock.now());
    if (section === 'targets') {
      this.recordConfirmation({
        origin: this.origin,
        count: (this.latestCounts.get(this.origin) ?? 0) + 1,
      });
    }
  }

  /** Records that a call of this VM to the store has failed. */
  recordStoreFailure(): void {
    this.storeFailedAt = this.clock.now();
  }

  /**
   * Records a confirmation that another VM reported; ignored if it is not new.
   * @param confirmation - The confirmation.
   * @param at - Estimated time of the confirmation by the store; monotonic milliseconds.
   */
  confirmFromPeer(confirmation: Confirmation, at: number): void {
    if (confirmation.count <= (this.latestCounts.get(confirmation.origin) ?? 0)) return;
    for (const section of FRESHNESS_SECTIONS) this.recordConfirmedAt(section, at);
    this.recordConfirmation(confirmation);
  }

  /** @internal */
  private recordConfirmation(confirmation: Confirmation): void {
    this.latestCounts.set(confirmation.origin, confirmation.count);
    this.latestConfirmation = confirmation;
    for (const listener of this.confirmListeners) listener();
  }

  /** @internal */
  private recordConfirmedAt(section: Section, at: number): void {
    const previous = this.confirmedAt.get(section);
    if (previous !== undefined && at <= previous) return;
    this.confirmedAt.set(section, at);
    if (section === 'targets' && previous !== undefined && this.wasStoreDown(previous, at)) {
      this.storeRecoveredAt = at;
    }
  }

  /** Whether the store was down between two confirmations. @internal */
  private wasStoreDown(previous: number, at: number): boolean {
    const hasFailed = this.storeFailedAt > previous;
    return at - previous > (hasFailed ? STORE_OUTAGE_MS : UNSEEN_OUTAGE_MS);
  }

  /**
   * Applies changes, unless the section is at a later revision already: another VM may be behind
   * this one, and its data would undo later changes.
   * @param change - The changes.
   */
  apply<S extends Section>(change: SectionChange<S>): void {
    const { section, revision } = change;
    this.cancelDeferredRemovals(change);
    const knownRevision = this.revisions.get(section) ?? -1;
    if (revision < knownRevision) {
      for (const listener of this.outdatedListeners) listener(change, knownRevision);
      return;
    }
    this.revisions.set(section, revision);
    const changed = this.addRemovals(change).filter(
      (item) =>
        this.isChanged(section, item) ||
        (revision > knownRevision && this.isReappearance(change, item)),
    );
    const items = this.deferRemovals(section, changed, revision);
    // The first reading of a section is reported even if it is empty, since listeners wait for it.
    if (items.length === 0 && knownRevision >= 0) return;
    for (const { name, value } of items) this.setEntry(section, name, value);
    const applied = { section, items, revision, isWhole: false } as SectionChange<Section>;
    for (const listener of this.changeListeners) listener(applied);
  }

  /**
   * Whole content of a section, to be sent to another VM.
   * @param section - The section.
   */
  getSnapshot<S extends Section>(section: S): SectionChange<S> {
    const revision = this.revisions.get(section) ?? -1;
    const items = [...this.getEntries(section)].map(([name, value]) => ({ name, value }));
    return { section, items, revision, isWhole: true } as SectionChange<S>;
  }

  /** @internal */
  private getEntries(section: Section): ReadonlyMap<string, unknown> {
    if (section === 'vms') return this.rosters;
    if (section !== 'configuration') return this[section];
    return new Map(this.table === undefined ? [] : [['main', this.table]]);
  }

  /**
   * Whether an object differs from the known one; of the configuration, whether its version is
   * later. Without the check, two VMs that follow each other during a store outage send each other
   * the same change for ever, which amounts to gigabytes between zones.
   * @internal
   */
  private isChanged<S extends Section>(section: S, { name, value }: StoredItem<S>): boolean {
    if (section === 'configuration') {
      const table = value as RoutingTable | undefined;
      return table !== undefined && table.version > (this.table?.version ?? -1);
    }
    const known = this.getEntries(section).get(name);
    return JSON.stringify(known) !== JSON.stringify(value);
  }

  /**
   * Cancels the deferred removal of targets that have registered again, even if the change itself
   * is older than the section's revision. A whole section from a peer is no evidence of that: the
   * peer may only keep the targets because of its own deferred removals.
   * @internal
   */
  private cancelDeferredRemovals(change: SectionChange<Section>): void {
    const { section, items, revision, isWhole, isFromPeer } = change;
    if (section !== 'targets' || (isWhole && isFromPeer === true)) return;
    for (const { name, value } of items) {
      if (value !== undefined && revision > (this.deferred.get(name) ?? Infinity)) {
        this.deferred.delete(name);
      }
    }
  }

  /**
   * Whether an unchanged target is reported to listeners nevertheless: followers that saw it
   * missing when the store recovered have to learn that it has registered again.
   * @internal
   */
  private isReappearance<S extends Section>(
    { section, isWhole }: SectionChange<S>,
    { value }: StoredItem<S>,
  ): boolean {
    if (section !== 'targets' || isWhole || value === undefined) return false;
    return this.clock.now() < this.storeRecoveredAt + REREGISTRATION_MS;
  }

  /** Adds a removal to a whole section for each known object that it lacks. @internal */
  private addRemovals<S extends Section>({ section, items, isWhole }: SectionChange<S>) {
    if (!isWhole || section === 'configuration') return items;
    const present = new Set(items.map(({ name }) => name));
    const removed = [...this.getEntries(section)].filter(([name]) => !present.has(name));
    return [...items, ...removed.map(([name]) => ({ name, value: undefined }))];
  }

  /**
   * Takes out removals of targets that are missing just after the store recovered, and defers them.
   * Entries expire during an outage although the targets are up, which would leave services without
   * targets until these have registered again.
   * @returns The changes to apply now.
   * @internal
   */
  private deferRemovals<S extends Section>(
    section: S,
    items: readonly StoredItem<S>[],
    revision: number,
  ): readonly StoredItem<S>[] {
    if (section !== 'targets') return items;
    const now = this.clock.now();
    const leftMs = this.storeRecoveredAt + REREGISTRATION_MS - now;
    const isDeferring = leftMs > 0;
    const immediate = items.filter(({ name, value }) => {
      if (value !== undefined || !isDeferring) {
        this.deferred.delete(name);
        return true;
      }
      this.deferred.set(name, revision);
      return false;
    });
    if (isDeferring && this.deferred.size > 0) this.clock.after(leftMs, () => this.dropDeferred());
    return immediate;
  }

  /** Removes the targets that have not registered again in time. @internal */
  private dropDeferred(): void {
    if (this.clock.now() < this.storeRecoveredAt + REREGISTRATION_MS - 1) return;
    const items = [...this.deferred.keys()].map((name) => ({ name, value: undefined }));
    this.deferred.clear();
    const revision = this.revisions.get('targets') ?? 0;
    this.apply({ section: 'targets', items, revision, isWhole: false });
  }

  /** @internal */
  private setEntry(section: Section, name: string, value: unknown): void {
    if (section === 'configuration') {
      // Versions only grow; `isChanged` has filtered out an earlier one that arrived late.
      this.table = value as RoutingTable;
      return;
    }
    const entries = this.getEntries(section) as Map<string, unknown>;
    if (value === undefined) entries.delete(name);
    else entries.set(name, value);
    if (section === 'vms') this.vms = mergeRosters(this.rosters);
  }
}
