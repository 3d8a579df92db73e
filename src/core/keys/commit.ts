import type { Context } from '../Context.js';
import type { Effect } from '../effects.js';
import type { EntryState } from '../EntryState.js';
import type { EventOf } from '../Handler.js';
import type { StoredAnswer } from '../model/index.js';
import { enqueueStoreCall } from '../storeCalls/index.js';
import { archiveFinishedRecords, handleSegmentWritten, linkWrittenSegment } from './archive.js';
import { dropSegments } from './dropSegments.js';
import { answerClaim, answerRecordedClaims, getRecord, isLoaded, expireQueued } from './home.js';
import type { QueuedClaim, QueuedEnd, KeyPartition, KeyRecord, KeyWrite } from './KeysState.js';
import { readHead } from './load.js';
import { sendToOrigin } from './sendToHome.js';
import type { StoredHead } from './storedHead.js';
import { getHeadKey, toStoredHead } from './storedHead.js';

/**
 * Longest answer body that is kept, in bytes of Base64. For a longer one only status and content
 * type are kept: a caller that repeats the request learns that it ran.
 */
const MAX_ANSWER_BYTES = 16_384;

/**
 * Time without a claim or end after which a partition is dropped from memory, in milliseconds. The
 * store still holds it.
 */
const PARTITION_IDLE_MS = 120_000;

function removeLargeBody(answer: StoredAnswer): StoredAnswer {
  if ((answer.body?.length ?? 0) <= MAX_ANSWER_BYTES) return answer;
  return { status: answer.status, contentType: answer.contentType };
}

/** Applies an end to the next head. Only the claim that holds the key may end it, and only once. */
function applyEnd(
  partition: KeyPartition,
  head: Map<string, KeyRecord>,
  { end, id, owner }: QueuedEnd,
): void {
  const record = head.get(id) ?? partition.archived.get(id);
  if (record?.owner !== owner || record.isDone) return;
  if (end === 'notRun') {
    head.delete(id);
    return;
  }
  const answer = removeLargeBody(end);
  head.set(id, { ...record, segment: undefined, isDone: true, answer });
}

function applyClaim(head: Map<string, KeyRecord>, queued: QueuedClaim, now: number): void {
  const { fingerprint, id, owner, retentionMs } = queued;
  const expiresAt = now + retentionMs;
  head.set(id, { id, fingerprint, owner, expiresAt, isDone: false, recordedAt: now });
}

function prepareWrite(state: EntryState, partition: KeyPartition, now: number): KeyWrite {
  const head = new Map<string, KeyRecord>();
  for (const [id, record] of partition.head) if (record.expiresAt > now) head.set(id, record);
  const newSegment = linkWrittenSegment(partition, head);
  const { ends } = partition;
  for (const end of ends) applyEnd(partition, head, end);
  const claims: QueuedClaim[] = [];
  const left: QueuedClaim[] = [];
  for (const queued of partition.claims) {
    const archived = partition.archived.get(queued.id);
    const isRecorded = head.has(queued.id) || (archived !== undefined && archived.expiresAt > now);
    (isRecorded ? left : claims).push(queued);
    if (!isRecorded) applyClaim(head, queued, now);
  }
  partition.claims = left;
  partition.ends = [];
  partition.isDirty = false;
  const segments = partition.segments.filter(({ expiresAt }) => expiresAt > now);
  const expired = partition.segments.filter((segment) => !segments.includes(segment));
  if (newSegment !== undefined) {
    const expiresAt = Math.max(...newSegment.records.map((record) => record.expiresAt));
    segments.push({ key: newSegment.key, expiresAt, isLoaded: true });
  }
  const nonce = `${state.settings.self.id}:${partition.nextNonce}`;
  partition.nextNonce += 1;
  const value = toStoredHead(nonce, head.values(), segments, now);
  const expiredSegmentKeys = expired.map(({ key }) => key);
  return {
    nonce,
    value,
    head,
    segments,
    claims,
    ends,
    expiredSegmentKeys,
    newSegment,
    isOutcomeUnknown: false,
  };
}

function putHead(state: EntryState, partition: KeyPartition, context: Context): Effect[] {
  const { number, version, write } = partition;
  if (write === undefined || version === undefined) return [];
  const op = { op: 'put', key: getHeadKey(number), value: write.value, expect: version } as const;
  const call = { storeClass: 'request', purpose: 'keyWrite', tag: `${number}`, op } as const;
  return enqueueStoreCall(state, call, context);
}

function completeWrite(
  state: EntryState,
  partition: KeyPartition,
  write: KeyWrite,
  version: number,
  context: Context,
): Effect[] {
  partition.write = undefined;
  partition.version = version;
  partition.head = write.head;
  partition.segments = write.segments;
  partition.verifiedAt = context.now;
  for (const record of write.newSegment?.records ?? []) {
    partition.archived.set(record.id, { ...record, segment: write.newSegment?.key });
  }
  for (const [id, record] of partition.archived) {
    if (record.expiresAt <= context.now) partition.archived.delete(id);
  }
  const effects = write.claims.flatMap((queued) => answerClaim(state, queued, { kind: 'claimed' }));
  for (const { claim, from } of write.ends) {
    effects.push(...sendToOrigin(state, from, { kind: 'keyEndHeard', claim }));
  }
  return [...effects, ...dropSegments(state, write.expiredSegmentKeys, context)];
}

/** Queues the claims, ends and new segment of a failed write for the next one. */
function requeueWrite(partition: KeyPartition, write: KeyWrite): void {
  partition.write = undefined;
  partition.writtenSegment = write.newSegment;
  partition.claims.unshift(...write.claims);
  partition.ends.unshift(...write.ends);
}

/**
 * Resolves a write whose answer was lost, given the head as just read. If the head has the write's
 * nonce, the write took effect. If the head's version is unchanged, the write may still be in
 * flight, so the same write is sent again: both expect the same version, so only one of them can
 * take effect. For any other head, the write's claims and ends are queued again; if the write took
 * effect before that head, the head holds their records.
 * @returns Undefined if no write is outstanding any more and the head read is to be applied.
 */
export function resolveUnknownWrite(
  state: EntryState,
  partition: KeyPartition,
  head: StoredHead | undefined,
  version: number,
  context: Context,
): Effect[] | undefined {
  const { write } = partition;
  if (write === undefined) return undefined;
  // The write's own answer is still to come and is more recent than this read.
  if (!write.isOutcomeUnknown) return [];
  if (head?.nonce === write.nonce) return completeWrite(state, partition, write, version, context);
  if (version === partition.version) return putHead(state, partition, context);
  requeueWrite(partition, write);
  return undefined;
}

/** Handles the result of a head or segment write. Claims are answered only once it succeeded. */
export function handleKeyWritten(
  state: EntryState,
  event: EventOf<'storeResolved'>,
  context: Context,
): Effect[] {
  const { op, result, tag } = event;
  const [number, segment] = tag.split('/');
  const partition = state.keys.partitions.get(Number(number));
  if (partition === undefined) return [];
  if (segment !== undefined) return handleSegmentWritten(partition, result);
  const { write } = partition;
  const nonce = op.op === 'put' ? (op.value as StoredHead).nonce : undefined;
  if (write === undefined || nonce !== write.nonce) return [];
  if (state.guards.conditionalKeyWrite(result)) {
    const version = result.kind === 'written' || result.kind === 'conflict' ? result.version : 0;
    return completeWrite(state, partition, write, version, context);
  }
  if (state.guards.readBackAfterUnknown(result)) {
    write.isOutcomeUnknown = true;
    return readHead(state, partition, context);
  }
  requeueWrite(partition, write);
  if (result.kind !== 'conflict') return [];
  partition.version = undefined;
  return readHead(state, partition, context);
}

/** Whether a write of the partition's head is queued or in flight. */
function isHeadWritePending(state: EntryState, partition: KeyPartition): boolean {
  const { outstanding, queues } = state.storeCalls;
  const tag = `${partition.number}`;
  const calls = [...outstanding.values(), ...queues.request.waiting].map(({ call }) => call);
  return calls.some((call) => call.purpose === 'keyWrite' && call.tag === tag);
}

function commitPartition(state: EntryState, partition: KeyPartition, context: Context): Effect[] {
  const effects = expireQueued(state, partition, context.now);
  const { write } = partition;
  if (write !== undefined) {
    // Unknown outcome and no write pending: the last attempt to read the head back has failed.
    const isPending = !write.isOutcomeUnknown || isHeadWritePending(state, partition);
    return isPending ? effects : [...effects, ...readHead(state, partition, context)];
  }
  const hasPendingWork =
    partition.claims.length > 0 || partition.ends.length > 0 || partition.isDirty;
  if (!hasPendingWork) return effects;
  if (!isLoaded(partition)) {
    const isHeadRead = partition.version !== undefined;
    return isHeadRead ? effects : [...effects, ...readHead(state, partition, context)];
  }
  effects.push(...answerRecordedClaims(state, partition, context));
  const shouldWrite =
    partition.ends.length > 0 ||
    partition.isDirty ||
    partition.claims.some(({ id }) => {
      const record = getRecord(partition, id);
      return record === undefined || record.expiresAt <= context.now;
    });
  if (!shouldWrite || partition.isReading) return effects;
  partition.write = prepareWrite(state, partition, context.now);
  effects.push(...putHead(state, partition, context));
  return effects;
}

/** Records the queued claims and ends of each partition with one write of its head. */
export function commitKeys(state: EntryState, context: Context): Effect[] {
  const { partitions } = state.keys;
  const effects: Effect[] = [];
  for (const [number, partition] of partitions) {
    effects.push(...commitPartition(state, partition, context));
    effects.push(...archiveFinishedRecords(state, partition, context));
    const isIdle = partition.write === undefined && partition.pendingSegment === undefined;
    const isUnused = context.now - partition.usedAt > PARTITION_IDLE_MS;
    if (isIdle && isUnused && partition.claims.length === 0) partitions.delete(number);
  }
  return effects;
}
