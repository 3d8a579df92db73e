import type { Context } from '../Context.js';
import type { Effect } from '../effects.js';
import type { EntryState } from '../EntryState.js';
import type { EventOf } from '../Handler.js';
import { enqueueStoreCall } from '../storeCalls/index.js';

/** Tag of the store calls that delete segments. */
export const DROP_TAG = 'drop';

/**
 * Deletes segments that the head no longer lists. Each is read first, since a delete needs the
 * version of the object.
 * @param state - The process's state.
 * @param keys - Store keys of the segments.
 * @param context - Current time and random source.
 */
export function dropSegments(
  state: EntryState,
  keys: readonly string[],
  context: Context,
): Effect[] {
  return keys.flatMap((key) => {
    const op = { op: 'get', key } as const;
    const call = { storeClass: 'status', purpose: 'keyRead', tag: DROP_TAG, op } as const;
    return enqueueStoreCall(state, call, context);
  });
}

/** Deletes a dropped segment once its version has been read. */
export function handleDroppedSegmentRead(
  state: EntryState,
  event: EventOf<'storeResolved'>,
  context: Context,
): Effect[] {
  const { result } = event;
  if (event.purpose !== 'keyRead' || result.kind !== 'found') return [];
  const { key, version } = result.entry;
  const op = { op: 'delete', key, expect: version } as const;
  const call = { storeClass: 'status', purpose: 'keyWrite', tag: DROP_TAG, op } as const;
  return enqueueStoreCall(state, call, context);
}
