import type { Context } from '../Context.js';
import type { Effect } from '../effects.js';
import type { EntryState } from '../EntryState.js';
import type { MessageHandler } from '../Handler.js';
import type { KeyClaimResult } from '../model/index.js';
import { isStoreDown } from '../storeCalls/index.js';
import { readHead } from './load.js';
import type { QueuedClaim, KeyPartition, KeyRecord } from './KeysState.js';
import { sendToOrigin, getKeyPartition } from './sendToHome.js';

/**
 * How long a home tries to record a claim, in milliseconds. Less than the origin waits for an
 * answer, so that the origin gets the refusal in time.
 */
const CLAIM_RECORD_TIMEOUT_MS = 1_000;

/**
 * How long a home tries to record an end, in milliseconds. Its origin reports the end again until
 * it is acknowledged.
 */
const END_RECORD_TIMEOUT_MS = 5_000;

/** Claims that may be queued in one partition; more are refused at once. */
const MAX_CLAIMS = 1_000;

/**
 * How long a partition's records may be used without checking the store, in milliseconds. Older
 * ones are read again before a claim is answered from another claim's record.
 */
const MAX_RECORD_AGE_MS = 500;

/** Returns the local copy of a partition, created empty on first use. */
export function getOrCreatePartition(state: EntryState, number: number, now: number): KeyPartition {
  const known = state.keys.partitions.get(number);
  if (known !== undefined) return known;
  const partition: KeyPartition = {
    number,
    isReading: false,
    verifiedAt: Number.NEGATIVE_INFINITY,
    head: new Map(),
    archived: new Map(),
    segments: [],
    claims: [],
    ends: [],
    isDirty: false,
    usedAt: now,
    nextNonce: 1,
  };
  state.keys.partitions.set(number, partition);
  return partition;
}

/** Whether the partition's head and all its segments have been read. */
export function isLoaded(partition: KeyPartition): boolean {
  return partition.version !== undefined && partition.segments.every((segment) => segment.isLoaded);
}

/** Returns the record of a key; the head takes precedence over the segments. */
export function getRecord(partition: KeyPartition, id: string): KeyRecord | undefined {
  return partition.head.get(id) ?? partition.archived.get(id);
}

/** Sends a claim's result to the process that made the claim. */
export function answerClaim(
  state: EntryState,
  queued: QueuedClaim,
  result: KeyClaimResult,
): Effect[] {
  const message = { kind: 'keyClaimAnswered', claim: queued.claim, result } as const;
  return sendToOrigin(state, queued.from, message);
}

/** Returns the result of a claim whose key has a record already. */
function compareWithRecord(record: KeyRecord, queued: QueuedClaim): KeyClaimResult {
  if (record.owner === queued.owner) return { kind: 'claimed' };
  if (record.fingerprint !== queued.fingerprint) return { kind: 'mismatch' };
  if (!record.isDone) return { kind: 'inProgress' };
  const notKept = { status: 200, contentType: '' };
  return { kind: 'completed', answer: record.answer ?? notKept };
}

/**
 * Answers the queued claims whose keys are recorded already; the others stay queued for the next
 * write. If the local copy is too old to answer a claim, the head is read again first.
 * @param state - The process's state.
 * @param partition - A loaded partition.
 * @param context - Current time and random source.
 */
export function answerRecordedClaims(
  state: EntryState,
  partition: KeyPartition,
  context: Context,
): Effect[] {
  const effects: Effect[] = [];
  const isVerified = context.now - partition.verifiedAt < MAX_RECORD_AGE_MS;
  let isStale = false;
  partition.claims = partition.claims.filter((queued) => {
    const record = getRecord(partition, queued.id);
    if (record === undefined || record.expiresAt <= context.now) return true;
    if (!isVerified && record.owner !== queued.owner) {
      isStale = true;
      return true;
    }
    effects.push(...answerClaim(state, queued, compareWithRecord(record, queued)));
    return false;
  });
  if (isStale) effects.push(...readHead(state, partition, context));
  return effects;
}

/**
 * Refuses claims that were not recorded in time, and all queued claims while the store is known to
 * be down; drops ends that were not recorded in time. A refused claim may still be recorded by a
 * write whose outcome is unknown. Its origin then reports that the request did not run, which
 * releases the key.
 */
export function expireQueued(state: EntryState, partition: KeyPartition, now: number): Effect[] {
  const { write } = partition;
  const isDown = isStoreDown(state, 'request', now);
  const isLate = ({ deadlineAt }: QueuedClaim): boolean => now >= deadlineAt;
  const late = partition.claims.filter((queued) => isDown || isLate(queued));
  if (late.length > 0) partition.claims = isDown ? [] : partition.claims.filter((a) => !isLate(a));
  if (write?.claims.some(isLate) === true) {
    late.push(...write.claims.filter(isLate));
    write.claims = write.claims.filter((queued) => !isLate(queued));
  }
  partition.ends = partition.ends.filter(({ deadlineAt }) => now < deadlineAt);
  return late.flatMap((queued) => answerClaim(state, queued, { kind: 'refused' }));
}

/** Queues a claim. It is answered from an existing record, or recorded by the next write. */
export const handleClaimAsked: MessageHandler<'keyClaimAsked'> = (
  state,
  from,
  message,
  context,
) => {
  const { claim, fingerprint, key, retentionMs, service } = message;
  const number = getKeyPartition(state, service, key);
  const partition = getOrCreatePartition(state, number, context.now);
  partition.usedAt = context.now;
  const owner = `${from}:${claim}`;
  const isQueued =
    partition.claims.some((queued) => queued.owner === owner) ||
    partition.write?.claims.some((queued) => queued.owner === owner);
  if (isQueued === true) return [];
  const deadlineAt = context.now + CLAIM_RECORD_TIMEOUT_MS;
  const id = `${service}|${key}`;
  const queued: QueuedClaim = {
    id,
    fingerprint,
    owner,
    from,
    claim,
    retentionMs,
    deadlineAt,
  };
  if (partition.claims.length >= MAX_CLAIMS) return answerClaim(state, queued, { kind: 'refused' });
  partition.claims.push(queued);
  if (!isLoaded(partition)) return readHead(state, partition, context);
  return answerRecordedClaims(state, partition, context);
};

/** Queues the end of a claimed request. The next write records it; then it is acknowledged. */
export const handleKeyEnded: MessageHandler<'keyEnded'> = (state, from, message, context) => {
  const { claim, end, key, service } = message;
  const number = getKeyPartition(state, service, key);
  const partition = getOrCreatePartition(state, number, context.now);
  partition.usedAt = context.now;
  const owner = `${from}:${claim}`;
  partition.claims = partition.claims.filter((queued) => queued.owner !== owner);
  const isQueued =
    partition.ends.some((queued) => queued.owner === owner) ||
    partition.write?.ends.some((queued) => queued.owner === owner);
  if (isQueued === true) return [];
  const id = `${service}|${key}`;
  partition.ends.push({
    id,
    owner,
    from,
    claim,
    end,
    deadlineAt: context.now + END_RECORD_TIMEOUT_MS,
  });
  return isLoaded(partition) ? [] : readHead(state, partition, context);
};
