import type { Context } from '../Context.js';
import type { Effect } from '../effects.js';
import type { EntryState } from '../EntryState.js';
import type { EventOf } from '../Handler.js';
import type { StoreResult } from '../model/index.js';
import { enqueueStoreCall } from '../storeCalls/index.js';
import { resolveUnknownWrite } from './commit.js';
import type { KeyPartition, KeyRecord } from './KeysState.js';
import type { StoredHead, StoredSegment } from './storedHead.js';
import { fromStoredRecord, getHeadKey } from './storedHead.js';

/**
 * Reads a partition's head, unless a read is in progress.
 * @param state - The process's state.
 * @param partition - The partition.
 * @param context - Current time and random source.
 */
export function readHead(state: EntryState, partition: KeyPartition, context: Context): Effect[] {
  if (partition.isReading) return [];
  partition.isReading = true;
  const op = { op: 'get', key: getHeadKey(partition.number) } as const;
  const tag = `${partition.number}`;
  const call = { storeClass: 'request', purpose: 'keyRead', tag, op } as const;
  return enqueueStoreCall(state, call, context);
}

function readSegments(state: EntryState, partition: KeyPartition, context: Context): Effect[] {
  const tag = `${partition.number}`;
  return partition.segments
    .filter(({ isLoaded }) => !isLoaded)
    .flatMap(({ key }) => {
      const call = { storeClass: 'request', purpose: 'keyRead', tag } as const;
      return enqueueStoreCall(state, { ...call, op: { op: 'get', key } }, context);
    });
}

/**
 * Replaces the local copy with a head read from the store. Records of segments that the head still
 * lists are kept.
 */
export function applyHead(
  partition: KeyPartition,
  head: StoredHead | undefined,
  version: number,
  now: number,
): void {
  const known = new Map(partition.segments.map((segment) => [segment.key, segment]));
  const segments = (head?.segments ?? []).map(
    ({ key, keepMs }) => known.get(key) ?? { key, expiresAt: now + keepMs, isLoaded: false },
  );
  const keys = new Set(segments.map(({ key }) => key));
  const records = new Map<string, KeyRecord>();
  for (const [id, record] of partition.archived) {
    if (record.segment !== undefined && !keys.has(record.segment)) partition.archived.delete(id);
  }
  for (const stored of head?.records ?? []) {
    const before = partition.head.get(stored.id);
    const isSame = before?.owner === stored.owner && before.isDone === stored.isDone;
    records.set(stored.id, isSame ? before : fromStoredRecord(stored, undefined, now));
  }
  partition.version = version;
  partition.segments = segments;
  partition.head = records;
  partition.verifiedAt = now;
}

/** Adds the records of a segment to the local copy. */
function applySegment(
  partition: KeyPartition,
  key: string,
  stored: StoredSegment,
  now: number,
): void {
  const segment = partition.segments.find((candidate) => candidate.key === key);
  if (segment === undefined) return;
  segment.isLoaded = true;
  for (const record of stored.records) {
    partition.archived.set(record.id, fromStoredRecord(record, key, now));
  }
}

/** Handles the result of a segment read. */
function handleSegmentRead(
  partition: KeyPartition,
  key: string,
  result: StoreResult,
  now: number,
): Effect[] {
  const stored = result.kind === 'found' ? (result.entry.value as StoredSegment) : undefined;
  // A missing segment was dropped by a later head, and a read may fail: the head is read again.
  if (stored === undefined) partition.version = undefined;
  else applySegment(partition, key, stored, now);
  return [];
}

/** Handles the result of reading a partition's head or one of its segments. */
export function handleKeyRead(
  state: EntryState,
  event: EventOf<'storeResolved'>,
  context: Context,
): Effect[] {
  const { op, result, sentAt, tag } = event;
  const partition = state.keys.partitions.get(Number(tag));
  if (partition === undefined || op.op !== 'get') return [];
  if (op.key !== getHeadKey(partition.number)) {
    return handleSegmentRead(partition, op.key, result, context.now);
  }
  partition.isReading = false;
  if (result.kind !== 'found' && result.kind !== 'missing') return [];
  const entry = result.kind === 'found' ? result.entry : undefined;
  const head = entry?.value as StoredHead | undefined;
  const version = entry?.version ?? 0;
  const effects = resolveUnknownWrite(state, partition, head, version, context);
  if (effects !== undefined) return effects;
  applyHead(partition, head, version, sentAt);
  return readSegments(state, partition, context);
}
