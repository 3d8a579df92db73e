import type { RoutingTable, TargetEntry, VmRoster } from '../balancing/index.js';
import type { RolloutOrder, RolloutState } from '../rollouts/index.js';

/** What lies in the store, by the part of it that is read and watched as a whole. */
export interface SectionValues {
  readonly configuration: RoutingTable;
  readonly targets: TargetEntry;
  /** Availability zones that operators have taken out; the name says it all. */
  readonly zonesOut: true;
  /** Orders to move a service to another version, by service. */
  readonly rollouts: RolloutOrder;
  /** By the VM that has announced them. */
  readonly vms: VmRoster;
}

/** Parts of the store. */
export type Section = keyof SectionValues;

export const SECTIONS: readonly Section[] = [
  'configuration',
  'targets',
  'zonesOut',
  'rollouts',
  'vms',
];

/** Sections where operators order no rollouts. */
export const SECTIONS_WITHOUT_ROLLOUTS: readonly Section[] = SECTIONS.filter(
  (section) => section !== 'rollouts',
);

/** One object of a section. */
export interface StoredItem<S extends Section> {
  readonly name: string;
  /** Undefined if the object is gone, or says nothing that can be used. */
  readonly value: SectionValues[S] | undefined;
}

/** Objects of a section, as of a revision of the store. */
export interface SectionItems<S extends Section> {
  readonly items: readonly StoredItem<S>[];
  readonly revision: number;
}

/** What a watch gave: changes since a revision, or that the store no longer knows them. */
export type WatchAnswer<S extends Section> = SectionItems<S> | 'historyGone';

/** Whether a listing has to be as of now, or may be some seconds old, which costs a tenth. */
export type ListFreshness = 'now' | 'mayBeOld';

/** The store that all entry VMs share. Its calls reject with `StoreCallError`. */
export interface FleetStore {
  /**
   * Reads a section as a whole.
   * @param section - Which part.
   * @param freshness - As it is now if left out.
   * @param onPage - Given each part of a long section as it comes, but for the last.
   */
  list<S extends Section>(
    section: S,
    freshness?: ListFreshness,
    onPage?: (items: readonly StoredItem<S>[]) => void,
  ): Promise<SectionItems<S>>;
  /**
   * Waits for changes of a section.
   * @param section - Which part.
   * @param revision - Changes after this one are wanted.
   * @param waitMs - How long to wait for one, in milliseconds.
   */
  watch<S extends Section>(section: S, revision: number, waitMs: number): Promise<WatchAnswer<S>>;
  /**
   * Announces entry VMs in one VM's name, in place of what it announced before.
   * @param announcer - Name of the VM that announces them.
   * @param roster - The VMs.
   * @param hasAnnounced - Whether it is thought to have announced some before; saves a call if so.
   */
  announce(announcer: string, roster: VmRoster, hasAnnounced: boolean): Promise<void>;
  /**
   * Writes how a rollout stands, unless its order was changed after the revision that is known.
   * @param order - The order.
   * @param state - How it stands.
   * @returns Whether it was written.
   */
  writeRolloutState(order: RolloutOrder, state: RolloutState): Promise<boolean>;
}

/** Why a call to the store gave nothing. */
export type StoreFailure =
  /** The store takes no more calls now. */
  | 'throttled'
  /** It said that it does nothing now. */
  | 'unavailable'
  /** No answer; a write may have taken effect, or may do so later. */
  | 'unknown'
  /** It answered something that is no answer to the call. */
  | 'protocol';

/** A call to the store gave nothing. */
export class StoreCallError extends Error {
  override readonly name = 'StoreCallError';

  /**
   * @param failure - Why.
   * @param message - What was called, and what came.
   */
  constructor(
    readonly failure: StoreFailure,
    message: string,
  ) {
    super(message);
  }
}
