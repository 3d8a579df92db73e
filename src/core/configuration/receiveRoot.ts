import type { Context } from '../Context.js';
import type { Effect } from '../effects.js';
import type { EntryState } from '../EntryState.js';
import type { ConfigRoot, EntryVmId, ServiceObject } from '../model/index.js';
import { adoptConfiguration, getMissingServices } from './adopt.js';
import { fetchServices } from './fetch.js';
import { gossipRoot } from './gossip.js';

/** Logs a second root of the current generation: a write bypassed the conditional update. */
function reportConflictingRoot(state: EntryState, root: ConfigRoot): Effect[] {
  const { root: currentRoot, conflictingRoots } = state.configuration;
  if (currentRoot === undefined || currentRoot.generation !== root.generation) return [];
  if (currentRoot.nonce === root.nonce || conflictingRoots.has(root.nonce)) return [];
  conflictingRoots.add(root.nonce);
  const text =
    `generation ${root.generation} exists twice: ${currentRoot.nonce} is in force here, ` +
    `${root.nonce} was received and is ignored; publish again to resolve this`;
  return [{ kind: 'log', level: 'error', part: 'config', text }];
}

/** Stores the service objects that the next root names. */
function addNeededObjects(state: EntryState, objects: readonly ServiceObject[]): void {
  const { next, objects: known } = state.configuration;
  const needed = new Set(Object.values(next?.services ?? {}));
  for (const object of objects) if (needed.has(object.hash)) known.set(object.hash, object);
}

/** Logs that a later root is known but lacks service objects. */
function reportPendingRoot(state: EntryState): Effect[] {
  const { current, next } = state.configuration;
  if (next === undefined) return [];
  const missing = getMissingServices(state, next).length;
  const text =
    `generation ${next.generation} is known but lacks ${missing} service objects; ` +
    `${current.generation} stays in force`;
  return [{ kind: 'log', level: 'info', part: 'config', text }];
}

/** Puts the next root into force if no service object is missing; fetches them otherwise. */
function adoptOrFetchNext(
  state: EntryState,
  source: EntryVmId | undefined,
  context: Context,
): Effect[] {
  const { next } = state.configuration;
  if (next === undefined) return [];
  if (getMissingServices(state, next).length > 0) return fetchServices(state, source, context);
  const effects = adoptConfiguration(state, next);
  return [...effects, ...gossipRoot(state, source, context)];
}

/**
 * Handles an accepted root. A later one is put into force once all of its service objects are
 * present; missing objects are fetched. An earlier or equal generation is ignored, whatever its
 * source. Otherwise a VM that resumes from a pause, or a delayed message, could restore an old
 * configuration.
 * @param state - The process's state.
 * @param root - The accepted root.
 * @param objects - Service objects that came with the root.
 * @param source - Peer that sent the root and has its service objects, if one did.
 * @param context - Current time and random source.
 */
export function receiveRoot(
  state: EntryState,
  root: ConfigRoot,
  objects: readonly ServiceObject[],
  source: EntryVmId | undefined,
  context: Context,
): Effect[] {
  const { configuration } = state;
  const currentGeneration = configuration.current.generation;
  if (!state.guards.generationNeverBack(root.generation, currentGeneration)) {
    return reportConflictingRoot(state, root);
  }
  const pendingGeneration = configuration.next?.generation ?? 0;
  if (root.generation > pendingGeneration) configuration.next = root;
  addNeededObjects(state, objects);
  const effects = adoptOrFetchNext(state, source, context);
  return root.generation > pendingGeneration ? [...reportPendingRoot(state), ...effects] : effects;
}

/**
 * Handles service objects that were requested from a peer or read from the store.
 * @param state - The process's state.
 * @param objects - The service objects.
 * @param context - Current time and random source.
 */
export function receiveObjects(
  state: EntryState,
  objects: readonly ServiceObject[],
  context: Context,
): Effect[] {
  addNeededObjects(state, objects);
  return adoptOrFetchNext(state, undefined, context);
}
