import type { TargetRegistration } from '../balancing/index.js';
import type { Section, SectionValues } from './FleetStore.js';

/** A drain ends only with a new start, so a registration without it is from before the drain. */
function carryOverDrain(known: TargetRegistration, read: TargetRegistration): TargetRegistration {
  const isSameProcess =
    known.bornAt === read.bornAt &&
    known.bornAt !== 0 &&
    known.address === read.address &&
    known.service === read.service;
  return isSameProcess && known.isDraining ? { ...read, isDraining: true } : read;
}

type CarryOver = {
  readonly [S in Section]?: (known: SectionValues[S], read: SectionValues[S]) => SectionValues[S];
};

const CARRY_OVER: CarryOver = { targets: carryOverDrain };

/**
 * Adds to an object that was read what is known of it and cannot have ended.
 * @param section - Section of the object.
 * @param known - The object as it is known; undefined if it is new.
 * @param read - The object as it was read; undefined if it was removed.
 */
export function carryOver<S extends Section>(
  section: S,
  known: SectionValues[S] | undefined,
  read: SectionValues[S] | undefined,
): SectionValues[S] | undefined {
  const merge = CARRY_OVER[section];
  return merge === undefined || known === undefined || read === undefined
    ? read
    : merge(known, read);
}
