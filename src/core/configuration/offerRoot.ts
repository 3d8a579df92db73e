import type { Context } from '../Context.js';
import type { Effect } from '../effects.js';
import type { EntryState } from '../EntryState.js';
import type { ConfigRoot, EntryVmId, ServiceObject } from '../model/index.js';
import { adoptConfiguration, getMissingServices } from './adopt.js';
import { fetchMissing } from './fetch.js';
import { spreadRoot } from './spread.js';

/** Two contents under one generation: somebody wrote past the conditional update. */
function reportStrangeRoot(state: EntryState, root: ConfigRoot): Effect[] {
  const { root: own, strangeRoots } = state.configuration;
  if (own === undefined || own.generation !== root.generation) return [];
  if (own.nonce === root.nonce || strangeRoots.has(root.nonce)) return [];
  strangeRoots.add(root.nonce);
  const text =
    `generation ${root.generation} exists twice: ${own.nonce} is in force here, ` +
    `${root.nonce} was offered and is ignored; publish again to settle it`;
  return [{ kind: 'log', level: 'error', part: 'config', text }];
}

/** Keeps descriptions that the next root names. */
function addObjects(state: EntryState, objects: readonly ServiceObject[]): void {
  const { next, objects: known } = state.configuration;
  const wanted = new Set(Object.values(next?.services ?? {}));
  for (const object of objects) if (wanted.has(object.hash)) known.set(object.hash, object);
}

/** A later root is known and can't be put into force yet. */
function reportPending(state: EntryState): Effect[] {
  const { current, next } = state.configuration;
  if (next === undefined) return [];
  const missing = getMissingServices(state, next).length;
  const text =
    `generation ${next.generation} is known and lacks ${missing} descriptions; ` +
    `${current.generation} stays in force`;
  return [{ kind: 'log', level: 'info', part: 'config', text }];
}

/** Puts the next root into force once it is whole. */
function advance(state: EntryState, source: EntryVmId | undefined, context: Context): Effect[] {
  const { next } = state.configuration;
  if (next === undefined) return [];
  if (getMissingServices(state, next).length > 0) return fetchMissing(state, source, context);
  const effects = adoptConfiguration(state, next);
  return [...effects, ...spreadRoot(state, source, context)];
}

/**
 * Takes an accepted root: puts it into force if it is later and known whole, fetches what is
 * missing if not. An earlier or equal generation changes nothing, whoever tells it: a VM that wakes
 * from a pause, or a delayed message, would else bring an old configuration back.
 * @param state - The process's state.
 * @param root - The accepted root.
 * @param objects - Descriptions that came along.
 * @param source - Peer that has the descriptions, if one told the root.
 * @param context - Time and chance.
 */
export function offerRoot(
  state: EntryState,
  root: ConfigRoot,
  objects: readonly ServiceObject[],
  source: EntryVmId | undefined,
  context: Context,
): Effect[] {
  const { configuration } = state;
  const inForce = configuration.current.generation;
  if (!state.guards.generationNeverBack(root.generation, inForce)) {
    return reportStrangeRoot(state, root);
  }
  const pending = configuration.next?.generation ?? 0;
  if (root.generation > pending) configuration.next = root;
  addObjects(state, objects);
  const effects = advance(state, source, context);
  return root.generation > pending ? [...reportPending(state), ...effects] : effects;
}

/**
 * Takes descriptions that were asked for.
 * @param state - The process's state.
 * @param objects - The descriptions.
 * @param context - Time and chance.
 */
export function offerObjects(
  state: EntryState,
  objects: readonly ServiceObject[],
  context: Context,
): Effect[] {
  addObjects(state, objects);
  return advance(state, undefined, context);
}
