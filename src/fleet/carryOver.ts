import type { TargetRegistration } from '../balancing/index.js';
import type { RolloutOrder, RolloutState } from '../rollouts/index.js';
import type { Section, SectionValues } from './FleetStore.js';

const FINAL_STATES: ReadonlySet<RolloutState | undefined> = new Set(['completed', 'rolledBack']);

/** A drain ends only with a new start, so a registration without it is from before the drain. */
function carryOverDrain(known: TargetRegistration, read: TargetRegistration): TargetRegistration {
  const isSameProcess =
    known.bornAt === read.bornAt &&
    known.bornAt !== 0 &&
    known.address === read.address &&
    known.service === read.service;
  return isSameProcess && known.isDraining ? { ...read, isDraining: true } : read;
}

function getStoredId({ id, storedId = id }: RolloutOrder): string {
  return storedId;
}

/**
 * An order that is read after the store was restored is the known one if it is for the same version:
 * operators write a lost order again, and it then has another creation revision. Its final state
 * stays, since targets may have been stopped because of it.
 */
function carryOverOrder(known: RolloutOrder, read: RolloutOrder): RolloutOrder {
  const { epoch } = read.position;
  const storedId = getStoredId(read);
  const isKnownObject = getStoredId(known) === storedId && known.position.epoch === epoch;
  const isWrittenAgain = known.version === read.version && known.position.epoch < epoch;
  if (!isKnownObject && !isWrittenAgain) return read;
  const identity = storedId === known.id ? { id: storedId } : { id: known.id, storedId };
  const isFinal = FINAL_STATES.has(known.state) && !FINAL_STATES.has(read.state);
  return isFinal
    ? { ...read, ...identity, state: known.state, isStateLost: true }
    : { ...read, ...identity };
}

type CarryOver = {
  readonly [S in Section]?: (known: SectionValues[S], read: SectionValues[S]) => SectionValues[S];
};

const CARRY_OVER: CarryOver = { targets: carryOverDrain, rollouts: carryOverOrder };

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
