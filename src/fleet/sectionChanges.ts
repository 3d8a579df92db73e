import type { StorePosition } from '../core/model/index.js';
import { comparePositions, UNKNOWN_EPOCH } from '../core/model/index.js';
import type { Section, StoredItem } from './FleetStore.js';

/**
 * Position of a section of which only a part has been read. Positions of the store are later, so any
 * other change of the section supersedes the part.
 */
export const PARTIAL_POSITION: StorePosition = { epoch: UNKNOWN_EPOCH, revision: 0 };

/** Changes of a section, or the whole section. */
export interface SectionChange<S extends Section> {
  readonly section: S;
  readonly items: readonly StoredItem<S>[];
  /** Position of the store that the section is at with these changes. */
  readonly position: StorePosition;
  /** Whether the items are the whole section, so that objects which are not among them are gone. */
  readonly isWhole: boolean;
  /**
   * Position that the changes begin at: who is at an earlier one lacks some that are not among them.
   * Undefined if the sender does not state it.
   */
  readonly from?: StorePosition;
  /**
   * Position since which the sender has seen each state of the section. Who is between `from` and this
   * one may have seen a state that the changes do not undo. Undefined if the sender does not state it.
   */
  readonly seenSince?: StorePosition;
  /** Whether it came from another VM, which may keep objects that are missing in the store. */
  readonly isFromPeer?: boolean;
  /**
   * Of a whole section from another VM: what it keeps although the store lacks it. Undefined if the
   * VM cannot tell, because it did not know the section before the store lost objects.
   */
  readonly missing?: MissingObjects;
  /**
   * Of a whole section from another VM: whether the store has all of its items, as the VM has listed
   * them after the latest outage and keeps nothing else.
   */
  readonly isListed?: boolean;
}

/** Name of the only object of the section `configuration`. */
export const CONFIGURATION_NAME = 'main';

function isOfSection(section: Section, name: string): boolean {
  return section !== 'configuration' || name === CONFIGURATION_NAME;
}

/**
 * Reduces changes to the latest one of each object of the section. Other objects of the kind of the
 * configuration are left out: without a value, they would take the place of the configuration.
 * @param change - Changes in order of time; an answer of the store may hold several of one object.
 * @example
 * keepLatestItems({ ...change, items: [removed, writtenAgain] }).items; // [writtenAgain]
 */
export function keepLatestItems<S extends Section>(change: SectionChange<S>): SectionChange<S> {
  const own = change.items.filter(({ name }) => isOfSection(change.section, name));
  const latest = new Map(own.map((item) => [item.name, item]));
  return latest.size === change.items.length ? change : { ...change, items: [...latest.values()] };
}

/**
 * Whether changes may lack some between the position of a section and the one that they lead to.
 * @param before - Position of the section; undefined if nothing of it is known.
 * @param change - The changes.
 * @example
 * hasGap(view.getPosition('targets'), change); // true: ask for the whole section
 */
export function hasGap(
  before: StorePosition | undefined,
  { from, seenSince = from }: Pick<SectionChange<Section>, 'from' | 'seenSince'>,
): boolean {
  if (from === undefined || seenSince === undefined) return false;
  if (before === undefined) return true;
  const order = comparePositions(before, from);
  return order < 0 || (order > 0 && comparePositions(before, seenSince) < 0);
}

/** Objects that a VM keeps although the store lacks them. */
export interface MissingObjects {
  readonly names: readonly string[];
  /** Time until those that are still missing are removed, in milliseconds. */
  readonly dueInMs: number;
}

/**
 * Result of applying changes: `ignored` if the section is at a later position, and `incomplete` if
 * the whole section has to be read first, since the changes follow a restore of the store or begin at
 * a later position.
 */
export type ApplyResult = 'applied' | 'ignored' | 'incomplete';

/** A section was read for the first time after the store was restored. */
export interface SectionRestore {
  readonly section: Section;
  readonly before: StorePosition;
  readonly position: StorePosition;
  /** Objects that are known and that the store lacks. */
  readonly missing: readonly string[];
}

/** End of the time in which objects that the store lacks may be written again. */
export interface MissingResolved {
  readonly section: Section;
  /** Objects that have not been written again, and are removed. */
  readonly removed: readonly string[];
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
