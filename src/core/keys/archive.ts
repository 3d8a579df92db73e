import type { Context } from '../Context.js';
import type { Effect } from '../effects.js';
import type { EntryState } from '../EntryState.js';
import type { StoreResult } from '../model/index.js';
import { enqueueStoreCall } from '../storeCalls/index.js';
import { isLoaded } from './home.js';
import type { NewSegment, KeyPartition, KeyRecord } from './KeysState.js';
import type { StoredSegment } from './storedHead.js';
import { toStoredRecord } from './storedHead.js';

/**
 * Size of a head's records from which the finished ones move to a segment, in bytes. The head is
 * rewritten for each batch of claims, so it is kept far below the store's limit of 1 MB per object.
 */
const MAX_HEAD_BYTES = 49_152;

/** Smallest size of finished records for which a segment is written, in bytes. */
const MIN_SEGMENT_BYTES = 16_384;

/** Estimated size of a record besides its strings, in bytes. */
const RECORD_OVERHEAD_BYTES = 100;

function getBytes({ answer, fingerprint, id, owner }: KeyRecord): number {
  const texts = id.length + fingerprint.length + owner.length + (answer?.body?.length ?? 0);
  return texts + RECORD_OVERHEAD_BYTES;
}

function sumBytes(records: readonly KeyRecord[]): number {
  return records.reduce((sum, record) => sum + getBytes(record), 0);
}

/**
 * Writes the finished records of a large head to a new segment. The segment gets a random key and
 * takes effect only when a head lists it. If this home was paused and another took over, the
 * conditional write of the head fails and the segment stays unreferenced.
 * @param state - The process's state.
 * @param partition - The partition.
 * @param context - Current time and random source.
 */
export function archiveFinishedRecords(
  state: EntryState,
  partition: KeyPartition,
  context: Context,
): Effect[] {
  const isArchiving =
    partition.pendingSegment !== undefined || partition.writtenSegment !== undefined;
  if (isArchiving || partition.write?.newSegment !== undefined || !isLoaded(partition)) return [];
  if (partition.head.size * RECORD_OVERHEAD_BYTES * 2 < MIN_SEGMENT_BYTES) return [];
  const records = [...partition.head.values()];
  if (sumBytes(records) < MAX_HEAD_BYTES) return [];
  const done = records.filter(({ isDone }) => isDone);
  if (sumBytes(done) < MIN_SEGMENT_BYTES) return [];
  const suffix = Math.floor(context.random() * 2 ** 48).toString(36);
  const key = `keys/${partition.number}/${suffix}`;
  partition.pendingSegment = { key, records: done };
  const value: StoredSegment = {
    records: done.map((record) => toStoredRecord(record, context.now)),
  };
  const op = { op: 'put', key, value, expect: 0 } as const;
  const tag = `${partition.number}/segment`;
  return enqueueStoreCall(state, { storeClass: 'request', purpose: 'keyWrite', tag, op }, context);
}

/** Schedules a head that lists the new segment, once the segment has been written. */
export function handleSegmentWritten(partition: KeyPartition, result: StoreResult): Effect[] {
  const { pendingSegment } = partition;
  partition.pendingSegment = undefined;
  if (pendingSegment === undefined || result.kind !== 'written') return [];
  partition.writtenSegment = pendingSegment;
  partition.isDirty = true;
  return [];
}

/**
 * Removes the records of a newly written segment from the head that is about to be written, so that
 * the head can list the segment instead. Returns undefined if there is no such segment, or if its
 * records have changed since it was written: it is then left unreferenced.
 * @param partition - The partition.
 * @param head - Records of the next head; changed in place.
 */
export function linkWrittenSegment(
  partition: KeyPartition,
  head: Map<string, KeyRecord>,
): NewSegment | undefined {
  const { writtenSegment } = partition;
  partition.writtenSegment = undefined;
  if (writtenSegment === undefined) return undefined;
  const isUnchanged = writtenSegment.records.every(
    ({ id, owner }) => head.get(id)?.owner === owner,
  );
  if (!isUnchanged) return undefined;
  for (const { id } of writtenSegment.records) head.delete(id);
  return writtenSegment;
}
