import type { RoutingTable, TargetRegistration, VmRoster } from '../balancing/index.js';
import type { StorePosition } from '../core/model/index.js';
import type { RolloutOrder, RolloutState } from '../rollouts/index.js';

/** Type of the objects in each section of the store; a section is read and watched as a whole. */
export interface SectionValues {
  readonly configuration: RoutingTable;
  readonly targets: TargetRegistration;
  /** Availability zones that operators have taken out of service; an object has only a name. */
  readonly zonesOut: true;
  /** Orders to move a service to another version, one per service. */
  readonly rollouts: RolloutOrder;
  /** Announced entry VMs, one roster for each VM that announces. */
  readonly vms: VmRoster;
}

/** Name of a section of the store. */
export type Section = keyof SectionValues;

/** All sections. */
export const SECTIONS: readonly Section[] = [
  'configuration',
  'targets',
  'zonesOut',
  'rollouts',
  'vms',
];

/** Sections of a deployment without rollouts. */
export const SECTIONS_WITHOUT_ROLLOUTS: readonly Section[] = SECTIONS.filter(
  (section) => section !== 'rollouts',
);

/** One object of a section. */
export interface StoredItem<S extends Section> {
  readonly name: string;
  /** Undefined if the object was deleted or can't be used. */
  readonly value: SectionValues[S] | undefined;
}

/** Objects of a section at a position of the store. */
export interface SectionItems<S extends Section> {
  readonly items: readonly StoredItem<S>[];
  readonly position: StorePosition;
}

/**
 * Result of a watch: changes since a position, or `historyGone` if the store no longer has them. If
 * its epoch is another one than that of the position, the changes are not all that there are.
 */
export type WatchAnswer<S extends Section> = SectionItems<S> | 'historyGone';

/** Whether a list has to be current or may be some seconds old, for a tenth of the price. */
export type ListFreshness = 'now' | 'mayBeOld';

/** Store shared by all entry VMs. A call that fails rejects with `StoreCallError`. */
export interface FleetStore {
  /**
   * Reads a whole section.
   * @param section - The section.
   * @param freshness - Defaults to `now`.
   * @param onPage - Called with each page of a long section as it arrives, except for the last
   * page.
   */
  list<S extends Section>(
    section: S,
    freshness?: ListFreshness,
    onPage?: (items: readonly StoredItem<S>[]) => void,
  ): Promise<SectionItems<S>>;
  /**
   * Waits for changes of a section.
   * @param section - The section.
   * @param position - Only changes after its revision are returned.
   * @param waitMs - Longest time to wait for a change, in milliseconds.
   * @returns No items if nothing has changed in that time.
   */
  watch<S extends Section>(
    section: S,
    position: StorePosition,
    waitMs: number,
  ): Promise<WatchAnswer<S>>;
  /**
   * Announces entry VMs under the name of one VM, and replaces its earlier announcement.
   * @param announcer - Name of the announcing VM.
   * @param roster - The announced VMs.
   * @param hasAnnounced - Whether the announcer probably has an announcement already. A wrong guess
   * costs one more call.
   */
  announce(announcer: string, roster: VmRoster, hasAnnounced: boolean): Promise<void>;
  /**
   * Writes the state of a rollout, unless its order has changed since it was read.
   * @param order - The order, with the position that it was read at.
   * @param state - The new state.
   * @returns Whether the state was written; false also if the store has been restored since, as the
   * revision may then be that of another change.
   */
  writeRolloutState(order: RolloutOrder, state: RolloutState): Promise<boolean>;
}

/** Why a call to the store failed. */
export type StoreFailure =
  /** The store rejected the call because there are too many. */
  | 'throttled'
  /** The store answered that it is unavailable. */
  | 'unavailable'
  /** No answer; a write may have taken effect, or may do so later. */
  | 'unknown'
  /** The answer does not fit the call. */
  | 'protocol'
  /** The answer is from before the store was restored. */
  | 'outdated';

/** Thrown when a call to the store fails. */
export class StoreCallError extends Error {
  override readonly name = 'StoreCallError';

  /**
   * @param failure - Why the call failed.
   * @param message - The call and its outcome.
   */
  constructor(
    readonly failure: StoreFailure,
    message: string,
  ) {
    super(message);
  }
}
