import type { IncomingHttpHeaders } from 'node:http';

import type { StoreEntry, StoreOp, StoreResult, StoreVersion } from '../core/index.js';
import { createStoreProtocolError } from './errors.js';

const DEFAULT_RETRY_AFTER_MS = 100;

type AnswerReader = (op: StoreOp, headers: IncomingHttpHeaders, text: string) => StoreResult;

function readVersion(value: unknown): StoreVersion {
  const version = (value as { version?: unknown } | null)?.version;
  if (typeof version === 'number' && Number.isSafeInteger(version) && version >= 0) return version;
  throw createStoreProtocolError('without a valid version');
}

function readEntry(value: unknown): StoreEntry {
  const { key, value: content } = value as { key?: unknown; value?: unknown };
  if (typeof key !== 'string') throw createStoreProtocolError('without a valid key');
  return { key, version: readVersion(value), value: content };
}

function readOk(op: StoreOp, _headers: IncomingHttpHeaders, text: string): StoreResult {
  const value = JSON.parse(text) as unknown;
  if (op.op === 'list') {
    const { entries } = value as { entries?: unknown };
    if (!Array.isArray(entries)) throw createStoreProtocolError('without entries');
    return { kind: 'listed', entries: entries.map(readEntry) };
  }
  if (op.op === 'put' || op.op === 'delete') {
    return { kind: 'written', version: readVersion(value) };
  }
  return { kind: 'found', entry: readEntry(value) };
}

const ANSWER_READERS = new Map<number, AnswerReader>([
  [200, readOk],
  [304, () => ({ kind: 'unchanged' })],
  [404, () => ({ kind: 'missing' })],
  [412, (_op, _headers, text) => ({ kind: 'conflict', version: readVersion(JSON.parse(text)) })],
  [
    429,
    (_op, headers) => ({
      kind: 'throttled',
      retryAfterMs: Number(headers['retry-after-ms'] ?? DEFAULT_RETRY_AFTER_MS),
    }),
  ],
]);

/**
 * Reads the store's answer to an operation. A status that the protocol does not define gives
 * `unknown`: an error may come from a component of the store that did not see that the call took
 * effect.
 * @param op - The operation.
 * @param status - HTTP status of the answer.
 * @param headers - Headers of the answer.
 * @param text - Body of the answer.
 * @throws StoreProtocolError if the body lacks a required field.
 */
export function readStoreAnswer(
  op: StoreOp,
  status: number,
  headers: IncomingHttpHeaders,
  text: string,
): StoreResult {
  return ANSWER_READERS.get(status)?.(op, headers, text) ?? { kind: 'unknown' };
}
