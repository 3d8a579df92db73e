import type { StoredAnswer } from '../model/index.js';
import type { KeyRecord, KeySegment } from './KeysState.js';

/**
 * A record as written to the store. It holds a remaining duration instead of a time, since the
 * monotonic clocks of two VMs have no common origin.
 */
export interface StoredKeyRecord {
  readonly id: string;
  readonly fingerprint: string;
  readonly owner: string;
  /** Remaining retention at the time of the write, in milliseconds. */
  readonly keepMs: number;
  readonly isDone: boolean;
  readonly answer?: StoredAnswer;
}

/** The store's object `keys/P`, the head of partition P. */
export interface StoredHead {
  readonly nonce: string;
  readonly records: readonly StoredKeyRecord[];
  readonly segments: readonly { readonly key: string; readonly keepMs: number }[];
}

/** The store's object `keys/P/SUFFIX`, a segment of partition P; immutable once written. */
export interface StoredSegment {
  readonly records: readonly StoredKeyRecord[];
}

/** Returns the store key of a partition's head. */
export function getHeadKey(partition: number): string {
  return `keys/${partition}`;
}

/**
 * Converts a record to its stored form.
 * @param record - The record.
 * @param now - Monotonic milliseconds.
 */
export function toStoredRecord(record: KeyRecord, now: number): StoredKeyRecord {
  const { answer, expiresAt, fingerprint, id, isDone, owner } = record;
  const keepMs = Math.max(0, Math.round(expiresAt - now));
  const stored = { id, fingerprint, owner, keepMs, isDone };
  return answer === undefined ? stored : { ...stored, answer };
}

/**
 * Converts a stored record back. Its remaining retention counts from now on, not from the write, so
 * the record is kept slightly too long. Expiring too early would let its request run again.
 * @param stored - The record as read.
 * @param segment - Store key of the segment that it was read from; undefined for the head.
 * @param now - Monotonic milliseconds.
 */
export function fromStoredRecord(
  stored: StoredKeyRecord,
  segment: string | undefined,
  now: number,
): KeyRecord {
  const { answer, fingerprint, id, isDone, keepMs, owner } = stored;
  return {
    id,
    fingerprint,
    owner,
    isDone,
    expiresAt: now + keepMs,
    recordedAt: now,
    ...(answer === undefined ? {} : { answer }),
    ...(segment === undefined ? {} : { segment }),
  };
}

/**
 * Creates the stored form of a head.
 * @param nonce - Identifies this write among all others.
 * @param records - Records of the head.
 * @param segments - Segments that the head lists.
 * @param now - Monotonic milliseconds.
 */
export function toStoredHead(
  nonce: string,
  records: Iterable<KeyRecord>,
  segments: readonly KeySegment[],
  now: number,
): StoredHead {
  return {
    nonce,
    records: [...records].map((record) => toStoredRecord(record, now)),
    segments: segments.map(({ key, expiresAt }) => ({
      key,
      keepMs: Math.max(0, Math.round(expiresAt - now)),
    })),
  };
}
