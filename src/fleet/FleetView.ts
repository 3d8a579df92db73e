import type {
  RoutingTable,
  TargetRegistration,
  VmAnnouncement,
  VmRoster,
} from '../balancing/index.js';
import type { StorePosition } from '../core/model/index.js';
import { comparePositions, isRestoredBetween, UNKNOWN_EPOCH } from '../core/model/index.js';
import type { RolloutOrder } from '../rollouts/index.js';
import type { Clock } from '../timing/index.js';
import { carryOver } from './carryOver.js';
import { DeferredRemovals } from './DeferredRemovals.js';
import type { Section, StoredItem } from './FleetStore.js';
import { SECTIONS } from './FleetStore.js';
import { mergeRosters } from './mergeRosters.js';
import type {
  ApplyResult,
  MissingResolved,
  SectionChange,
  SectionRestore,
} from './sectionChanges.js';
import { CONFIGURATION_NAME, hasGap, keepLatestItems, PARTIAL_POSITION } from './sectionChanges.js';
import { StoreConfirmations } from './StoreConfirmations.js';

/**
 * Time after an outage or a restore of the store in which objects that it lacks are written again,
 * in milliseconds. Targets take about two seconds according to the platform, plus the time to
 * propagate; operators and entry VMs may take somewhat longer.
 */
const REWRITE_MS: Readonly<Record<Section, number>> = {
  configuration: 0,
  targets: 2_700,
  zonesOut: 5_000,
  rollouts: 5_000,
  vms: 5_000,
};

function isPartialPosition(position: StorePosition): boolean {
  return comparePositions(position, PARTIAL_POSITION) === 0;
}

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

  /** When the store has confirmed the content. */
  readonly confirmations: StoreConfirmations;

  /** Position that each section is at. @internal */
  private readonly positions = new Map<Section, StorePosition>();

  /** When each section was last read whole from the store, by this VM or its source. @internal */
  private readonly listedAt = new Map<Section, number>();

  /** Position of the latest reported change of each section, which the next one follows. @internal */
  private readonly reportedAt = new Map<Section, StorePosition>();

  /**
   * Position since which this VM has seen each state of a section. It sees no change of an object that
   * is removed and written again within one answer, or between two readings.
   * @internal
   */
  private readonly seenSince = new Map<Section, StorePosition>();

  /** Objects that the store lacks and that may be written again. @internal */
  private readonly deferred: ReadonlyMap<Section, DeferredRemovals>;

  /**
   * Sections that were known before the store was last restored, so that this VM can tell which of
   * their objects the store has lost.
   * @internal
   */
  private readonly knownBeforeRestore = new Set<Section>();

  /** @internal */
  private readonly changeListeners: ((change: SectionChange<Section>) => void)[] = [];

  /** @internal */
  private readonly outdatedListeners: ((
    change: SectionChange<Section>,
    known: StorePosition,
  ) => void)[] = [];

  /** @internal */
  private readonly restoreListeners: ((restore: SectionRestore) => void)[] = [];

  /** @internal */
  private readonly resolveListeners: ((resolved: MissingResolved) => void)[] = [];

  /**
   * @param clock - Source of monotonic time.
   * @param origin - Identifies this run of the process in confirmations.
   */
  constructor(
    private readonly clock: Clock,
    origin = 'self',
  ) {
    this.confirmations = new StoreConfirmations(clock, origin);
    const create = (section: Section) =>
      new DeferredRemovals(clock, (names) => this.removeMissing(section, names));
    this.deferred = new Map(SECTIONS.map((section) => [section, create(section)]));
  }

  /** Whether targets are kept that the store lacks and that may register again. */
  get hasDeferredRemovals(): boolean {
    return this.getDeferred('targets').size > 0;
  }

  /** Latest epoch of the store that any section has been read in. */
  get epoch(): number {
    return Math.max(UNKNOWN_EPOCH, ...[...this.positions.values()].map(({ epoch }) => epoch));
  }

  /**
   * Whether an object is kept although the store lacks it.
   * @param section - Section of the object.
   * @param name - Name of the object.
   */
  isMissing(section: Section, name: string): boolean {
    return this.getDeferred(section).has(name);
  }

  /**
   * Adds a listener for changes.
   * @param listener - Called after a change was applied, with the items that have changed.
   */
  onChange(listener: (change: SectionChange<Section>) => void): void {
    this.changeListeners.push(listener);
  }

  /**
   * Adds a listener for changes that are ignored because the section is at a later position.
   * @param listener - Called with the change and the known position.
   */
  onOutdated(listener: (change: SectionChange<Section>, known: StorePosition) => void): void {
    this.outdatedListeners.push(listener);
  }

  /**
   * Adds a listener for restores of the store.
   * @param listener - Called for each section when it is first read after a restore.
   */
  onRestore(listener: (restore: SectionRestore) => void): void {
    this.restoreListeners.push(listener);
  }

  /**
   * Adds a listener for the end of the time in which missing objects may be written again.
   * @param listener - Called for each section that had missing objects.
   */
  onMissingResolved(listener: (resolved: MissingResolved) => void): void {
    this.resolveListeners.push(listener);
  }

  /**
   * Position that a section is at; undefined if nothing of it is known.
   * @param section - The section.
   */
  getPosition(section: Section): StorePosition | undefined {
    return this.positions.get(section);
  }

  /** Whether only a part of a section has been read so far. */
  isPartial(section: Section): boolean {
    const position = this.getPosition(section);
    return position !== undefined && isPartialPosition(position);
  }

  /**
   * Applies changes, unless the section is at a later position already: another VM may be behind
   * this one, and its data would undo later changes.
   * @param read - The changes.
   */
  apply<S extends Section>(read: SectionChange<S>): ApplyResult {
    // The removal of an object that is written again in the same answer must not be deferred.
    const change = keepLatestItems(read);
    const { section, position, isWhole } = change;
    const before = this.positions.get(section);
    const written = this.resolveWritten(change);
    const isEarlier = before !== undefined && comparePositions(position, before) < 0;
    if (isEarlier && !this.hasLaterTable(change)) {
      this.outdatedListeners.forEach((listener) => listener(change, before));
      return 'ignored';
    }
    const isRestored = before !== undefined && isRestoredBetween(before, position);
    // The configuration is a single object, so any change of it is the whole.
    const needsWhole = !isWhole && section !== 'configuration';
    if (needsWhole && (isRestored || hasGap(before, change))) return 'incomplete';
    if (!isEarlier) this.positions.set(section, position);
    const changed = this.findChanges(change, before, written);
    if (isRestored) this.beginRewrite(change);
    const items = this.deferRemovals(change, changed, isRestored);
    const seenSince = this.getSeenSince(read, items.length);
    this.recordMissing(change);
    this.recordListed(change);
    for (const { name, value } of items) this.setEntry(section, name, value);
    if (isRestored) this.reportRestore(before, { section, items, position, isWhole: false });
    else this.reportApplied({ section, items, position, isWhole, seenSince }, before);
    this.seenSince.set(section, seenSince);
    return 'applied';
  }

  /**
   * Position since which each state of a section is known, with changes that were read.
   * @param read - The changes; their sender may lack states as well.
   * @param reported - How many of them are reported to followers.
   * @internal
   */
  private getSeenSince(read: SectionChange<Section>, reported: number): StorePosition {
    const { section, position, seenSince, isWhole, items } = read;
    if (isWhole || reported < items.length) return position;
    const own = this.seenSince.get(section);
    if (own === undefined || seenSince === undefined) return own ?? seenSince ?? position;
    return comparePositions(own, seenSince) > 0 ? own : seenSince;
  }

  /** @internal */
  private reportApplied(change: SectionChange<Section>, before: StorePosition | undefined): void {
    const { section, items, isWhole } = change;
    // Followers may know objects that a first reading lacks.
    if (isWhole && (before === undefined || isPartialPosition(before))) {
      this.reportChange(this.getSnapshot(section));
      return;
    }
    // The first reading of a section is reported even if it is empty, since listeners wait for it.
    if (items.length === 0 && before !== undefined) return;
    this.reportChange({ ...change, isWhole: false, from: this.reportedAt.get(section) });
  }

  /**
   * Returns the objects that differ from what is known, or that listeners have to be told of
   * nevertheless.
   * @internal
   */
  private findChanges<S extends Section>(
    change: SectionChange<S>,
    before: StorePosition | undefined,
    written: ReadonlySet<string>,
  ): readonly StoredItem<S>[] {
    const { section, position } = change;
    const isLater = before === undefined || comparePositions(position, before) > 0;
    const carried = change.items.map(({ name, value }) => ({
      name,
      value: carryOver(section, this.getEntry(section, name), value),
    }));
    return this.addRemovals({ ...change, items: carried }).filter(
      (item) =>
        this.isChanged(section, item) ||
        written.has(item.name) ||
        (isLater && (this.isReappearance(change, item) || this.isUnknownRemoval(section, item))),
    );
  }

  /**
   * Whole content of a section, to be sent to another VM.
   * @param section - The section.
   */
  getSnapshot<S extends Section>(section: S): SectionChange<S> {
    const position = this.positions.get(section) ?? { epoch: UNKNOWN_EPOCH, revision: -1 };
    const items = [...this.getEntries(section)].map(([name, value]) => ({ name, value }));
    const { names, dueInMs } = this.getDeferred(section);
    const isTold = this.knownBeforeRestore.has(section);
    const missing = isTold ? { names, dueInMs: Math.round(dueInMs) } : undefined;
    const isListed = this.isListed(section);
    return { section, items, position, isWhole: true, missing, isListed } as SectionChange<S>;
  }

  /**
   * Whether a change brings a later configuration. Its version decides, whatever its position:
   * after a restore, a peer may still know a later one than the store.
   * @internal
   */
  private hasLaterTable<S extends Section>({ section, items }: SectionChange<S>): boolean {
    return section === 'configuration' && items.some((item) => this.isChanged(section, item));
  }

  /** @internal */
  private getDeferred(section: Section): DeferredRemovals {
    return this.deferred.get(section) as DeferredRemovals;
  }

  /** @internal */
  private getEntry<S extends Section>(section: S, name: string): StoredItem<S>['value'] {
    return this.getEntries(section).get(name) as StoredItem<S>['value'];
  }

  /** @internal */
  private reportChange(change: SectionChange<Section>): void {
    this.reportedAt.set(change.section, change.position);
    for (const listener of this.changeListeners) listener(change);
  }

  /**
   * Reports the whole section, since followers need to know what the store lacks. Of the
   * configuration, which is large, they only need a later version.
   * @internal
   */
  private reportRestore(before: StorePosition, change: SectionChange<Section>): void {
    const { section, position } = change;
    this.reportChange(section === 'configuration' ? change : this.getSnapshot(section));
    const { names: missing } = this.getDeferred(section);
    for (const listener of this.restoreListeners) listener({ section, before, position, missing });
  }

  /** @internal */
  private getEntries(section: Section): ReadonlyMap<string, unknown> {
    if (section === 'vms') return this.rosters;
    if (section !== 'configuration') return this[section];
    return new Map(this.table === undefined ? [] : [[CONFIGURATION_NAME, this.table]]);
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
   * Cancels the deferred removal of objects that have been written again, even if the change itself
   * is older than the section's position. A whole section from a peer is no evidence of that unless
   * it tells what is missing, or has been listed: the peer may only keep the objects because of its own
   * deferred removals.
   * @returns Names of the objects that were missing until now.
   * @internal
   */
  private resolveWritten(change: SectionChange<Section>): ReadonlySet<string> {
    const { section, items, position, isWhole, isFromPeer, missing, isListed } = change;
    const isEvidence = isFromPeer !== true || missing !== undefined || isListed === true;
    if (isWhole && !isEvidence) return new Set();
    const deferred = this.getDeferred(section);
    const stillMissing = new Set(missing?.names);
    const written = items.filter(
      ({ name, value }) =>
        value !== undefined && !stillMissing.has(name) && deferred.resolve(name, position),
    );
    return new Set(written.map(({ name }) => name));
  }

  /**
   * Whether an unchanged object is reported to listeners nevertheless: followers that found it
   * missing after an outage or a restore of the store have to learn that it has been written again.
   * @internal
   */
  private isReappearance<S extends Section>(
    { section, isWhole }: SectionChange<S>,
    { value }: StoredItem<S>,
  ): boolean {
    if (isWhole || value === undefined) return false;
    if (section === 'targets' && this.isAfterOutage) return true;
    return this.getDeferred(section).dueInMs > 0;
  }

  /**
   * Whether an object is removed that this VM does not know. Those that follow it may know it from
   * another source, and would hear of its removal from nobody else.
   * @internal
   */
  private isUnknownRemoval(section: Section, { name, value }: StoredItem<Section>): boolean {
    return value === undefined && !this.getEntries(section).has(name);
  }

  /** Adds a removal to a whole section for each known object that it lacks. @internal */
  private addRemovals<S extends Section>({ section, items, isWhole }: SectionChange<S>) {
    if (!isWhole || section === 'configuration') return items;
    const present = new Set(items.map(({ name }) => name));
    const removed = [...this.getEntries(section)].filter(([name]) => !present.has(name));
    return [...items, ...removed.map(([name]) => ({ name, value: undefined }))];
  }

  /** Starts the time in which objects that a restored store lacks may be written again. @internal */
  private beginRewrite({ section, missing }: SectionChange<Section>): void {
    // A peer that knew the section before the restore tells what is missing.
    if (missing !== undefined) return;
    this.knownBeforeRestore.add(section);
    const now = this.clock.now();
    // Entries of targets may have expired in the copy.
    if (section === 'targets') this.confirmations.recordRestore();
    this.getDeferred(section).keepUntil(now + REWRITE_MS[section]);
  }

  /** @internal */
  private recordListed(change: SectionChange<Section>): void {
    const { section, isWhole, isFromPeer, isListed } = change;
    if (!isWhole) return;
    if (isFromPeer !== true || isListed === true) this.listedAt.set(section, this.clock.now());
    else this.listedAt.delete(section);
  }

  /** Whether the store has all known objects of a section. @internal */
  private isListed(section: Section): boolean {
    const at = this.listedAt.get(section);
    const isSinceOutage = at !== undefined && at >= this.confirmations.storeRecoveredAt;
    return isSinceOutage && this.getDeferred(section).size === 0;
  }

  /** Takes over what the sender of a whole section keeps although the store lacks it. @internal */
  private recordMissing({ section, position, missing }: SectionChange<Section>): void {
    if (missing === undefined) return;
    this.knownBeforeRestore.add(section);
    if (missing.names.length === 0) return;
    const deferred = this.getDeferred(section);
    for (const name of missing.names) deferred.add(name, position);
    deferred.keepUntil(this.clock.now() + missing.dueInMs);
  }

  /**
   * Takes out removals of objects that may be written again, and defers them. Entries of targets
   * expire during an outage although the targets are up, which would leave services without targets
   * until these have registered again; a store that is restored from a copy lacks objects of all
   * sections.
   * @returns The changes to apply now.
   * @internal
   */
  private deferRemovals<S extends Section>(
    { section, position, items: read, missing }: SectionChange<S>,
    items: readonly StoredItem<S>[],
    isRestored: boolean,
  ): readonly StoredItem<S>[] {
    const deferred = this.getDeferred(section);
    const isAnyDeferred = section === 'targets' && this.isAfterOutage;
    if (isAnyDeferred) deferred.keepUntil(this.registrationsDueAt);
    const isDeferring = deferred.dueInMs > 0 && missing === undefined;
    const removedNames = new Set(read.map(({ name }) => name));
    return items.filter(({ name, value }) => {
      if (value !== undefined || this.isUnknownRemoval(section, { name, value })) return true;
      const isExplicit = removedNames.has(name);
      const mayReturn = isAnyDeferred || (!isExplicit && (isRestored || deferred.has(name)));
      if (!isDeferring || !mayReturn) {
        deferred.delete(name);
        return true;
      }
      deferred.add(name, position);
      return false;
    });
  }

  /** Whether targets whose entries expired in an outage of the store may register again. @internal */
  private get isAfterOutage(): boolean {
    return this.clock.now() < this.registrationsDueAt;
  }

  /**
   * When targets whose entries expired in an outage have had time to register again; monotonic
   * milliseconds.
   * @internal
   */
  private get registrationsDueAt(): number {
    return this.confirmations.storeRecoveredAt + REWRITE_MS.targets;
  }

  /** Removes the objects that have not been written again in time. @internal */
  private removeMissing(section: Section, removed: readonly string[]): void {
    for (const listener of this.resolveListeners) listener({ section, removed });
    const items = removed.map((name) => ({ name, value: undefined }));
    const position = this.positions.get(section) ?? PARTIAL_POSITION;
    this.apply({ section, items, position, isWhole: false });
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
