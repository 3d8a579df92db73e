import type { Context } from '../Context.js';
import type { Effect } from '../effects.js';
import type { EntryState } from '../EntryState.js';
import type { EventOf } from '../Handler.js';
import { hashText } from '../hash.js';
import type { ConfigRoot, ServiceObject } from '../model/index.js';
import { enqueueStoreCall } from '../storeCalls/index.js';
import { getConfirmationAgeMs, recordConfirmation } from './confirmation.js';
import { recordStoreRead, fetchServices } from './fetch.js';
import { receiveObjects, receiveRoot } from './receiveRoot.js';

/** Store key of the configuration root. */
const ROOT_KEY = 'config/root';

/** Duration of a watch. A watch that ends without a change confirms the root up to its end. */
const WATCH_TIMEOUT_MS = 500;

/** Confirmation age above which any process reads the root, as a share of the freshness limit. */
const READ_FRESHNESS_SHARE = 0.6;

/** Interval of reads by a process that is not a watcher, in milliseconds; jittered by half. */
const READ_INTERVAL_MS = 400;

/**
 * Whether this process is one of the few that watch the configuration in the store. A watcher that
 * fails is removed from the assignment, and the next process in the order replaces it.
 * @param state - The process's state.
 */
export function isWatcher(state: EntryState): boolean {
  const { assignment, departed, peers } = state.fleet;
  const self = state.settings.self.id;
  const ids = assignment.members
    .map(({ id }) => id)
    .filter((id) => !departed.has(id) && peers.get(id)?.leaving !== true)
    .sort((a, b) => hashText(`watch|${a}`) - hashText(`watch|${b}`));
  return ids.slice(0, state.settings.configurationWatchers).includes(self);
}

function readOrWatchRoot(state: EntryState, isWatch: boolean, context: Context): Effect[] {
  const { configuration } = state;
  configuration.isRootCallPending = true;
  configuration.lastRootCallAt = context.now;
  const after = configuration.rootVersion;
  if (isWatch && after !== undefined) {
    const op = { op: 'watch', key: ROOT_KEY, after, waitMs: WATCH_TIMEOUT_MS } as const;
    const call = { storeClass: 'configuration', purpose: 'rootWatch', tag: '', op } as const;
    return enqueueStoreCall(state, call, context);
  }
  const op = { op: 'get', key: ROOT_KEY } as const;
  const call = { storeClass: 'configuration', purpose: 'rootRead', tag: '', op } as const;
  return enqueueStoreCall(state, call, context);
}

/**
 * Follows the root in the store. Watchers do so continuously. Other processes read it if their
 * last confirmation is too old, as when no watcher or no peer reaches them.
 * @param state - The process's state.
 * @param context - Current time and random source.
 */
export function followRoot(state: EntryState, context: Context): Effect[] {
  const { configuration, settings } = state;
  const effects = fetchServices(state, undefined, context);
  if (configuration.isRootCallPending) return effects;
  if (isWatcher(state)) return [...effects, ...readOrWatchRoot(state, true, context)];
  const isOld =
    getConfirmationAgeMs(state, context.now) > settings.freshnessMs * READ_FRESHNESS_SHARE;
  const intervalMs = READ_INTERVAL_MS * (0.5 + context.random());
  if (!isOld || context.now - configuration.lastRootCallAt < intervalMs) return effects;
  return [...effects, ...readOrWatchRoot(state, false, context)];
}

/** Handles the result of a read or a watch of the root. */
export function handleRootRead(
  state: EntryState,
  event: EventOf<'storeResolved'>,
  context: Context,
): Effect[] {
  const { configuration } = state;
  const { op, result, sentAt } = event;
  configuration.isRootCallPending = false;
  if (result.kind === 'unchanged' && op.op === 'watch') {
    // The store answers `unchanged` no earlier than that, so no later root was written before then.
    const generation = configuration.rootGeneration;
    recordConfirmation(state, generation, sentAt + op.waitMs);
    return [];
  }
  if (result.kind === 'missing') {
    configuration.rootVersion = 0;
    configuration.rootGeneration = 0;
    recordConfirmation(state, 0, sentAt);
    return [];
  }
  if (result.kind !== 'found') return [];
  const root = result.entry.value as ConfigRoot;
  configuration.rootVersion = result.entry.version;
  configuration.rootGeneration = root.generation;
  const effects = receiveRoot(state, root, [], undefined, context);
  recordConfirmation(state, root.generation, sentAt);
  return effects;
}

/** Handles the result of reading a service object from the store. */
export function handleServiceRead(
  state: EntryState,
  event: EventOf<'storeResolved'>,
  context: Context,
): Effect[] {
  const { result, tag } = event;
  const object = result.kind === 'found' ? (result.entry.value as ServiceObject) : undefined;
  recordStoreRead(state, tag, object, context.now);
  return object === undefined ? [] : receiveObjects(state, [object], context);
}
